import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ExitCode } from "../src/cli/exitCode";
import { ProcessSignals } from "../src/cli/processSignals";
import { serveUntilStopped } from "../src/cli/serveUntilStopped";
import { PlannedStop } from "../src/node/plannedStop";
import { EventId } from "../src/types/eventId";
import { observeEvents } from "../src/utils/events";
import { sleep } from "../src/utils/time";

const graceMs = 4_000;
/** A step that fails is over at once. */
const stepMs = 500;

/** Guards against a stop that an error in one of its steps leaves unfinished, so that the platform kills the process. */
describe("a planned stop", () => {
    const failures: readonly { readonly name: string; readonly step: () => Promise<unknown>; }[] = [
        { name: "at once", step: () => Promise.reject(new Error("broken")) },
        { name: "later", step: () => sleep(20).then(() => Promise.reject(new Error("broken"))) },
    ];
    for (const { name, step } of failures) {
        it(`goes on after a step that fails ${name}, and logs the error`, async () => {
            const events: EventId[] = [];
            const unobserve = observeEvents(event => events.push(event));
            const stop = PlannedStop.begin(graceMs, () => undefined);
            const startedAt = performance.now();
            try {
                await stop.run("step", step());
            }
            finally {
                stop.end();
                unobserve();
            }
            assert.ok(performance.now() - startedAt < stepMs);
            assert.deepEqual(events, [EventId.UnexpectedError]);
        });
    }

    it("that fails ends the process with an error", async () => {
        const emitted = new Map<string, () => void>();
        const signals = ProcessSignals.create();
        const emitter = { on: (signal: string, listener: () => void) => void emitted.set(signal, listener) };
        signals.listen(emitter as unknown as NodeJS.Process);
        const code = serveUntilStopped({ start: () => Promise.resolve(), stop: () => Promise.reject(new Error("broken")) }, signals);
        emitted.get("SIGTERM")!();
        assert.equal(await code, ExitCode.Failed);
    });
});
