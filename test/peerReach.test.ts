import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PeerReach } from "../src/forward/peerReach";

const stepMs = 10;
const observedMs = 5_000;
const maxAsksPerS = 15;

// Guards against a node that is not ready for a moment each second, while the peer that it serves through is asked again.
describe("what is known of peers that reach upstreams", () => {
    for (const answerMs of [5, 50, 150]) {
        it(`does not lapse while it is asked for regularly and a peer answers within ${answerMs} ms`, async () => {
            const clock = install({ toFake: ["setTimeout", "performance"] });
            try {
                let asks = 0;
                const choice = { choose: (asked: ReadonlySet<string>) => asked.size === 0 ? "peer" : undefined, onUntaken: () => undefined };
                const prober = {
                    reachesUpstreams: () => {
                        asks++;
                        return new Promise(resolve => setTimeout(() => resolve(true), answerMs));
                    },
                };
                const reach = PeerReach.create(choice as never, prober as never);
                reach.check();
                await clock.tickAsync(answerMs);
                const unknownAt: number[] = [];
                for (let ms = 0; ms < observedMs; ms += stepMs) {
                    if (reach.check() !== true) {
                        unknownAt.push(ms);
                    }
                    await clock.tickAsync(stepMs);
                }
                assert.deepEqual(unknownAt, []);
                assert.ok(asks <= maxAsksPerS * observedMs / 1_000, `asked ${asks} times`);
            }
            finally {
                clock.uninstall();
            }
        });
    }
});
