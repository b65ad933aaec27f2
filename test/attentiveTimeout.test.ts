import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { startAttentiveTimeout } from "../src/utils/attentiveTimeout";
import { sleep } from "../src/utils/time";

const block = (ms: number): void => {
    const until = performance.now() + ms;
    while (performance.now() < until) {
        // The process is busy, as with a long turn of the event loop.
    }
};

/** Guards against a peer that is taken to be silent because this process was late itself. */
describe("a timeout that counts only time in which the process could read", () => {
    it("calls back after its time", async () => {
        const startedAt = performance.now();
        const afterMs = await new Promise<number>(resolve => startAttentiveTimeout(60, () => resolve(performance.now() - startedAt)));
        assert.ok(afterMs >= 55, String(afterMs));
    });

    it("does not call back for one long turn, in which answers could not be read", async () => {
        let isOver = false;
        const cancel = startAttentiveTimeout(60, () => isOver = true);
        block(200);
        await new Promise(resolve => setImmediate(resolve));
        const wasOver = isOver;
        cancel();
        assert.equal(wasOver, false);
    });

    it("does not call back once it is cancelled", async () => {
        let isOver = false;
        const cancel = startAttentiveTimeout(30, () => isOver = true);
        await sleep(10);
        cancel();
        await sleep(60);
        assert.equal(isOver, false);
    });
});
