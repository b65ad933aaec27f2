import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PromptCacheTracker } from "../src/core/promptCacheTracker";
import type { ModelRequest } from "../src/types/modelRequest";

const requestOf = (ids: readonly string[]): ModelRequest => ({
    model: "m",
    promptTokens: 100,
    maxOutputTokens: 10,
    parts: ids.map(id => ({ id, tokens: 1 })),
});
const idsOf = (prefix: string, count: number): readonly string[] => [...Array(count).keys()].map(index => `${prefix}${index}`);
const maxPartsOfRunner = 512;
const maxPartsOfAll = 65_536;

/** Guards against a heap that the prompt parts named by callers fill, for as long as runners serve. */
describe("the tracked prompt parts", () => {
    it("are bounded for each runner, the latest stay", () => {
        const tracker = PromptCacheTracker.create(() => 0);
        tracker.record("r", requestOf(idsOf("a", maxPartsOfRunner)));
        tracker.record("r", requestOf(idsOf("b", maxPartsOfRunner)));
        assert.equal(tracker.cachedTokens("r", requestOf(["a0"])), 0);
        assert.equal(tracker.cachedTokens("r", requestOf(idsOf("b", maxPartsOfRunner))), maxPartsOfRunner);
    });

    it("are bounded for all runners, those of the runners used last stay", () => {
        const tracker = PromptCacheTracker.create(() => 0);
        const parts = requestOf(idsOf("a", maxPartsOfRunner));
        const runners = idsOf("r", 4 * maxPartsOfAll / maxPartsOfRunner);
        runners.forEach(runner => tracker.record(runner, parts));
        tracker.record(runners.at(-2)!, parts);
        const isTracked = (runner: string): boolean => tracker.cachedTokens(runner, parts) > 0;
        assert.ok(runners.filter(isTracked).length * maxPartsOfRunner <= maxPartsOfAll);
        assert.deepEqual([runners[0]!, runners.at(-2)!, runners.at(-1)!].map(isTracked), [false, true, true]);
        runners.forEach(runner => tracker.forget(runner));
        assert.equal(tracker.size, 0);
    });

    it("do not include those with a long ID", () => {
        const tracker = PromptCacheTracker.create(() => 0);
        const request = requestOf(["v".repeat(8_000)]);
        tracker.record("r", request);
        assert.equal(tracker.cachedTokens("r", request), 0);
    });

    it("are forgotten with the model that they were for", () => {
        const tracker = PromptCacheTracker.create(() => 0);
        tracker.record("r", requestOf(["a"]));
        tracker.record("r", { ...requestOf(["b"]), model: "n" });
        tracker.forget("r", "m");
        assert.deepEqual([tracker.cachedTokens("r", requestOf(["a"])), tracker.size], [0, 1]);
    });
});
