import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { RunnerOrder } from "../src/types/runner";
import { RunnerOrderKind } from "../src/types/runner";
import { InvariantChecker } from "./processSoak/invariantChecker";
import { UpstreamWords } from "./processSoak/upstreamWords";

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

describe("the soak's check of what upstreams say", () => {
    const node = { name: "n0", disturbedAt: Number.NEGATIVE_INFINITY, cutAt: Number.NEGATIVE_INFINITY };
    type Step = readonly [afterMs: number, action: (words: UpstreamWords) => void];
    const send = (id: string) => (words: UpstreamWords): void => words.onRequest(id, node);
    const arrive = (id: string) => (words: UpstreamWords): void => words.onArrival("u1", id);
    const sendAndArrive = (id: string) => (words: UpstreamWords): void => [send, arrive].forEach(step => step(id)(words));
    const passOn = (words: UpstreamWords): void => {
        words.onRequest("a", node);
        words.onAnswered("u1", "a", true);
        words.onPassedOn("a");
    };
    const askForQuiet = (ms: number) => (words: UpstreamWords): void => {
        words.onRequest("a", node);
        words.onQuietAsked("u1", "a", ms);
    };
    const disturb = (field: "disturbedAt" | "cutAt") => (): void => void Object.assign(node, { [field]: performance.now() });
    const cases: readonly { readonly name: string; readonly steps: readonly Step[]; readonly violations: number; }[] = [
        { name: "reports a request to an upstream that is leaving", steps: [[0, passOn], [2_600, sendAndArrive("b")]], violations: 1 },
        { name: "allows one that was sent in time and arrives late", steps: [[0, passOn], [2_400, send("b")], [400, arrive("b")]], violations: 0 },
        { name: "allows one of a node that was restarted", steps: [[0, passOn], [100, disturb("disturbedAt")], [2_600, sendAndArrive("b")]], violations: 0 },
        { name: "reports one of a node that was cut off", steps: [[0, passOn], [100, disturb("cutAt")], [2_600, sendAndArrive("b")]], violations: 1 },
        {
            name: "reports the third request in a quiet time",
            steps: [[0, askForQuiet(2_000)], [600, sendAndArrive("b")], [1, sendAndArrive("c")], [1, sendAndArrive("d")], [1, sendAndArrive("e")]],
            violations: 1,
        },
        {
            name: "allows requests just after a quiet time began and after its end",
            steps: [[0, askForQuiet(600)], [490, sendAndArrive("b")], [1, sendAndArrive("c")], [120, sendAndArrive("d")], [1, sendAndArrive("e")]],
            violations: 0,
        },
        {
            name: "allows requests in a quiet time of a node that was cut off",
            steps: [[0, askForQuiet(2_000)], [1, disturb("cutAt")], [600, sendAndArrive("b")], [1, sendAndArrive("c")], [1, sendAndArrive("d")]],
            violations: 0,
        },
    ];
    for (const { name, steps, violations } of cases) {
        it(name, () => {
            const clock = install({ toFake: ["performance"], now: 10_000 });
            Object.assign(node, { disturbedAt: Number.NEGATIVE_INFINITY, cutAt: Number.NEGATIVE_INFINITY });
            try {
                const words = UpstreamWords.create();
                for (const [afterMs, action] of steps) {
                    clock.tick(afterMs);
                    action(words);
                }
                assert.equal(words.violations.length, violations);
            }
            finally {
                clock.uninstall();
            }
        });
    }
});
