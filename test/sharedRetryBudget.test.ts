import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SharedRetryBudget } from "../src/core/sharedRetryBudget";

const rules = { retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 54 };
const playedMs = 600_000;

/** Guards against a node whose memory grows with each request until one of them is retried. */
describe("the retry budget of a service", () => {
    const cases = [
        { name: "without retries", retryEveryMs: Number.POSITIVE_INFINITY, requestEveryMs: 5 },
        { name: "with a retry now and then", retryEveryMs: 95_000, requestEveryMs: 5 },
        { name: "with long pauses between requests", retryEveryMs: Number.POSITIVE_INFINITY, requestEveryMs: 30_000 },
    ];
    for (const { name, retryEveryMs, requestEveryMs } of cases) {
        it(`remembers the requests of two windows at most, ${name}`, () => {
            let now = 0;
            const budget = SharedRetryBudget.create(() => rules, () => 7, () => now);
            let largest = 0;
            for (let nextRetryAt = retryEveryMs; now < playedMs; now += requestEveryMs) {
                budget.countRequest();
                if (now >= nextRetryAt) {
                    budget.withdraw();
                    nextRetryAt += retryEveryMs;
                }
                largest = Math.max(largest, budget.size);
            }
            assert.ok(largest <= 2 * (rules.retryWindowMs / requestEveryMs + 1) + 1, `${largest} remembered`);
        });
    }

    it("allows the share of one window's requests", () => {
        let now = 0;
        const budget = SharedRetryBudget.create(() => ({ ...rules, retrySlack: 0 }), () => 1, () => now);
        for (; now < 25_000; now += 100) {
            budget.countRequest();
        }
        let retries = 0;
        while (budget.withdraw()) {
            retries++;
        }
        // 100 requests in the window, a fifth of them, less the margin of a fifth.
        assert.ok(retries >= 14 && retries <= 16, `${retries} retries`);
    });
});
