import assert from "node:assert/strict";
import { PassThrough } from "node:stream";
import { describe, it } from "node:test";
import { BodySource } from "../src/utils/bodySource";
import { sleep } from "../src/utils/time";
import type { TurnPacer } from "../src/utils/turnPacer";

const silenceMs = 60;
const longPauseMs = 4 * silenceMs;
const timeoutMs = 5_000;

/** Pauses each reader until it is told to go on. */
class HeldTurns {
    private readonly paused: (() => void)[] = [];

    get pacer(): TurnPacer {
        const count: TurnPacer["count"] = (...[, resume]) => {
            this.paused.push(resume);
            return false;
        };
        return { count } as Pick<TurnPacer, "count"> as TurnPacer;
    }

    resume(): void {
        this.paused.splice(0).forEach(resume => resume());
    }
}

// Guards against a 408 for callers whose bodies the node itself does not read for a while.
describe("a body whose reading waits for its turn", () => {
    const cases: readonly { readonly name: string; readonly goesOn: boolean; readonly end: string; }[] = [
        { name: "is read whole after a wait that is longer than a sender may be silent", goesOn: true, end: "whole" },
        { name: "is given up if its sender is silent once it is read again", goesOn: false, end: "slow" },
    ];
    for (const { name, goesOn, end } of cases) {
        it(name, async () => {
            const stream = new PassThrough();
            const turns = new HeldTurns();
            const outcome = BodySource.create(stream).read(() => true, { timeoutMs, silenceMs, pacer: turns.pacer });
            stream.write("first");
            await sleep(longPauseMs);
            if (goesOn) {
                stream.end();
            }
            turns.resume();
            assert.equal(await outcome, end);
        });
    }
});
