import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { MonitoredStore } from "../src/core/monitoredStore";
import { recoveryGraceMs } from "../src/core/storeAvailability";
import { createRandom } from "../src/utils/random";
import { MemoryPlatformStore } from "./fakes/memoryPlatformStore";

/** Result of a call to the store after a pause. */
interface Call {
    readonly afterMs: number;
    readonly isAnswered: boolean;
}
const fails = (afterMs: number): Call => ({ afterMs, isAnswered: false });
const answers = (afterMs: number): Call => ({ afterMs, isAnswered: true });

describe("availability of the store", () => {
    let clock: ReturnType<typeof install>;
    beforeEach(() => clock = install({ toFake: ["performance"] }));
    afterEach(() => clock.uninstall());

    const cases: readonly { readonly name: string; readonly calls: readonly Call[]; readonly thenMs?: number; readonly graceMs: number; }[] = [
        { name: "gives no grace before any call", calls: [], graceMs: 0 },
        { name: "takes one failed call for a lost connection", calls: [answers(0), fails(100), answers(150)], graceMs: 0 },
        { name: "takes a failed call before a long wait for a lost connection", calls: [answers(0), fails(100), answers(2_500)], graceMs: 0 },
        { name: "takes calls that fail together for lost connections", calls: [answers(0), fails(100), fails(0), fails(20), answers(150)], graceMs: 0 },
        {
            name: "takes failures with answers in between for lost connections",
            calls: [fails(0), fails(400), answers(10), fails(400), answers(10), fails(400), answers(10)],
            graceMs: 0,
        },
        {
            name: "takes failures without an answer in between for an outage",
            calls: [answers(0), fails(100), fails(300), fails(300), answers(150)],
            graceMs: recoveryGraceMs,
        },
        {
            name: "counts the grace from the first answer",
            calls: [fails(0), fails(600), answers(10), answers(700)],
            thenMs: 300,
            graceMs: recoveryGraceMs - 1_000,
        },
        { name: "ends the grace", calls: [fails(0), fails(600), answers(10)], thenMs: recoveryGraceMs, graceMs: 0 },
        {
            name: "does not extend the grace by a lost connection",
            calls: [fails(0), fails(600), answers(10), fails(500), answers(100)],
            graceMs: recoveryGraceMs - 600,
        },
        {
            name: "starts the grace anew after another outage",
            calls: [fails(0), fails(600), answers(10), fails(500), fails(700), answers(100)],
            graceMs: recoveryGraceMs,
        },
    ];
    for (const { name, calls, thenMs = 0, graceMs } of cases) {
        it(name, async () => {
            const memoryStore = MemoryPlatformStore.create(createRandom(1));
            const store = MonitoredStore.create(memoryStore);
            for (const { afterMs, isAnswered } of calls) {
                clock.tick(afterMs);
                memoryStore.isDown = !isAnswered;
                await store.readTable("t").catch(() => undefined);
            }
            clock.tick(thenMs);
            assert.equal(store.availability.graceMs, graceMs);
        });
    }

    it("does not count calls that the node itself ended", async () => {
        const memoryStore = MemoryPlatformStore.create(createRandom(1));
        const store = MonitoredStore.create(memoryStore);
        memoryStore.isDown = true;
        for (const afterMs of [0, 600]) {
            clock.tick(afterMs);
            await assert.rejects(store.feed("t", 0, 0, AbortSignal.abort()));
        }
        memoryStore.isDown = false;
        await store.readTable("t");
        assert.equal(store.availability.graceMs, 0);
    });
});
