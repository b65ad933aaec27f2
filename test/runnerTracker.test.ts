import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RunnerTracker } from "../src/core/runnerTracker";
import type { RunnerOrder, RunnerReport } from "../src/types/runner";
import { RunnerOrderAnswer, RunnerOrderKind } from "../src/types/runner";
import type { EngineSpec } from "../src/types/servingConfig";
import { UpstreamState } from "../src/types/upstreamServer";

const engine: EngineSpec = {
    slots: 8,
    kvTokens: 1_000,
    memoryMb: 100,
    adapterSlots: 2,
    loadsPerS: 1,
    models: new Map([["m", { name: "m", memoryMb: 50, loadMs: 10, warmLoadMs: 1, diskLoadMs: 2, adapters: 2, adapterMemoryMb: 1 }]]),
};
const order: RunnerOrder = { kind: RunnerOrderKind.Load, model: "m", adapter: "a1", expectedAcceptedOrders: 3, holder: "n", epoch: 1 };

const reportOf = (acceptedOrders: number, isBusy = false): RunnerReport => ({
    models: [{ name: "m", version: 1, adapters: [] }],
    inMemory: [],
    onDisk: [],
    loadingAdapters: [],
    isBusy,
    acceptedOrders,
    queued: 0,
    active: 0,
    bornAt: 1,
});

type Step = (book: RunnerTracker) => void;
const report = (acceptedOrders: number, isBusy = false): Step => book => book.onReport(reportOf(acceptedOrders, isBusy), engine);
const send: Step = book => {
    book.inFlightOrder = order;
};
const end = (answer: RunnerOrderAnswer): Step => book => {
    book.inFlightOrder = undefined;
    book.onAnswer(order, answer, engine);
};

describe("the book of a runner", () => {
    const cases: readonly { readonly name: string; readonly steps: readonly Step[]; readonly canOrder: boolean; readonly isUnsettled: boolean; }[] = [
        { name: "an order without an answer blocks further ones", steps: [send, end(RunnerOrderAnswer.Unknown)], canOrder: false, isUnsettled: true },
        {
            name: "a report that counts it settles it",
            steps: [send, end(RunnerOrderAnswer.Unknown), report(4)],
            canOrder: true,
            isUnsettled: false,
        },
        {
            name: "a report that counts it may come before the order is given up",
            steps: [send, report(4), end(RunnerOrderAnswer.Unknown), report(4)],
            canOrder: true,
            isUnsettled: false,
        },
        {
            name: "a conflict leaves it to the next report",
            steps: [send, report(4), end(RunnerOrderAnswer.Unknown), send, end(RunnerOrderAnswer.Conflict), report(4)],
            canOrder: true,
            isUnsettled: false,
        },
        {
            name: "a report from before the order settles nothing",
            steps: [send, end(RunnerOrderAnswer.Unknown), report(3)],
            canOrder: false,
            isUnsettled: true,
        },
    ];
    for (const { name, steps, canOrder, isUnsettled } of cases) {
        it(name, () => {
            const book = RunnerTracker.create({
                id: "r",
                service: "s",
                address: "127.0.0.1:1",
                availabilityZone: "a",
                slots: 8,
                state: UpstreamState.Ready,
                models: [],
                inMemory: [],
                onDisk: [],
                bornAt: 1,
            }, () => 0);
            [report(3), ...steps].forEach(step => step(book));
            assert.deepEqual([book.canOrder, book.pendingOrder !== undefined], [canOrder, isUnsettled]);
        });
    }
});
