import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { RunnerOrder } from "../src/types/runner";
import { RunnerOrderKind } from "../src/types/runner";
import { InvariantChecker } from "./processSoak/invariantChecker";

const orderOf = (holder: string, epoch: number): RunnerOrder => ({ kind: RunnerOrderKind.Load, model: "m", expectedAcceptedOrders: 0, holder, epoch });

describe("the soak's check of orders", () => {
    type Step = readonly [afterMs: number, action: (checker: InvariantChecker) => void];
    const order = (holder: string, epoch: number) => (checker: InvariantChecker): void => checker.onOrder("u1", orderOf(holder, epoch));
    const resume = (holder: string) => (checker: InvariantChecker): void => checker.onResume(holder);
    const cases: readonly { readonly name: string; readonly steps: readonly Step[]; readonly violations: number; }[] = [
        { name: "reports two holders within the gap", steps: [[0, order("a", 1)], [1_800, order("b", 2)]], violations: 1 },
        { name: "allows two holders after the gap", steps: [[0, order("a", 1)], [3_100, order("b", 2)]], violations: 0 },
        { name: "reports an epoch that decreases", steps: [[0, order("a", 2)], [3_100, order("b", 1)]], violations: 1 },
        { name: "ignores a late order of a holder that has just resumed", steps: [[0, order("b", 2)], [500, resume("a")], [6, order("a", 1)]], violations: 0 },
        {
            name: "ignores it also as the earlier order",
            steps: [[0, resume("a")], [6, order("a", 1)], [1_830, order("b", 2)]],
            violations: 0,
        },
        {
            name: "still compares the orders before and after it",
            steps: [[0, order("a", 1)], [500, resume("a")], [6, order("a", 1)], [1_000, order("b", 2)]],
            violations: 1,
        },
        {
            name: "counts orders of a holder some time after it resumed",
            steps: [[0, resume("a")], [400, order("a", 1)], [1_830, order("b", 2)]],
            violations: 1,
        },
    ];
    for (const { name, steps, violations } of cases) {
        it(name, () => {
            const clock = install({ toFake: ["performance"], now: 10_000 });
            try {
                const checker = InvariantChecker.create();
                for (const [afterMs, action] of steps) {
                    clock.tick(afterMs);
                    action(checker);
                }
                assert.equal(checker.checkAtEnd().length, violations);
            }
            finally {
                clock.uninstall();
            }
        });
    }
});
