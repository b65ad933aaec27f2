import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RunnerTracker } from "../src/core/runnerTracker";
import { victimSets } from "../src/core/victimSets";
import type { RunnerOrder, RunnerReport } from "../src/types/runner";
import { RunnerOrderAnswer, RunnerOrderKind } from "../src/types/runner";
import type { EngineSpec } from "../src/types/servingConfig";
import { UpstreamState } from "../src/types/upstreamServer";
import { createTracker } from "./fakes/trackers";

const engine: EngineSpec = {
    slots: 8,
    kvTokens: 1_000,
    tokensPerEvent: 4,
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

type Step = (tracker: RunnerTracker) => void;
const report = (acceptedOrders: number, isBusy = false): Step => tracker => tracker.onReport(reportOf(acceptedOrders, isBusy));
const send: Step = tracker => tracker.onSend(order, engine);
const finish = (answer: RunnerOrderAnswer): Step => tracker => tracker.onAnswer(order, answer, engine);

describe("runner tracker", () => {
    const cases: readonly { readonly name: string; readonly steps: readonly Step[]; readonly canOrder: boolean; readonly isPending: boolean; }[] = [
        { name: "allows no further order while one is pending", steps: [send, finish(RunnerOrderAnswer.Unknown)], canOrder: false, isPending: true },
        {
            name: "takes the outcome of a pending order from a report that counts it",
            steps: [send, finish(RunnerOrderAnswer.Unknown), report(4)],
            canOrder: true,
            isPending: false,
        },
        {
            name: "accepts a report that counts an order before the order times out",
            steps: [send, report(4), finish(RunnerOrderAnswer.Unknown), report(4)],
            canOrder: true,
            isPending: false,
        },
        {
            name: "takes the outcome from the next report after a conflict",
            steps: [send, report(4), finish(RunnerOrderAnswer.Unknown), send, finish(RunnerOrderAnswer.Conflict), report(4)],
            canOrder: true,
            isPending: false,
        },
        {
            name: "keeps an order pending after a report from before it",
            steps: [send, finish(RunnerOrderAnswer.Unknown), report(3)],
            canOrder: false,
            isPending: true,
        },
    ];
    for (const { name, steps, canOrder, isPending } of cases) {
        it(name, () => {
            const tracker = RunnerTracker.create({
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
                acceptedOrders: 0,
            }, () => 0);
            [report(3), ...steps].forEach(step => step(tracker));
            assert.deepEqual([tracker.canOrder, tracker.pendingOrder !== undefined], [canOrder, isPending]);
        });
    }

    interface RestartCase {
        readonly name: string;
        readonly steps: readonly Step[];
        readonly usedAdapterSlots: number;
    }
    const restart: Step = tracker => tracker.onReport({ ...reportOf(0), bornAt: 2 });
    const restartCases: readonly RestartCase[] = [
        { name: "of an order that is pending", steps: [send, finish(RunnerOrderAnswer.Unknown), restart], usedAdapterSlots: 1 },
        {
            name: "of an order whose other copy has been executed",
            steps: [send, finish(RunnerOrderAnswer.Unknown), report(4), restart],
            usedAdapterSlots: 1,
        },
        { name: "of an order that is in flight", steps: [send, restart], usedAdapterSlots: 1 },
        {
            name: "once for several copies",
            steps: [send, finish(RunnerOrderAnswer.Unknown), send, finish(RunnerOrderAnswer.Unknown), restart],
            usedAdapterSlots: 1,
        },
        { name: "but not of one that was answered", steps: [send, finish(RunnerOrderAnswer.Accepted), restart], usedAdapterSlots: 0 },
    ];
    for (const { name, steps, usedAdapterSlots } of restartCases) {
        it(`keeps an adapter slot free after a restart for a late copy ${name}`, () => {
            const server = {
                id: "r",
                service: "s",
                address: "a",
                availabilityZone: "z",
                slots: 8,
                state: UpstreamState.Ready,
                models: [],
                inMemory: [],
                onDisk: [],
                bornAt: 1,
                acceptedOrders: 0,
            };
            const tracker = RunnerTracker.create(server, () => 0);
            tracker.onReport(reportOf(3));
            steps.forEach(step => step(tracker));
            assert.equal(tracker.usedAdapterSlots, usedAdapterSlots);
        });
    }
});

describe("models of a runner that may be unloaded", () => {
    const loaded = ["m"];
    const sets = (steps: readonly Step[]): readonly (readonly string[])[] => {
        const tracker = createTracker({ id: "r", hasReport: false });
        steps.forEach(step => step(tracker));
        return victimSets(tracker, 10, engine, () => 1);
    };
    const empty: Step = tracker => tracker.onReport({ ...reportOf(3), models: [] });
    const cases: readonly { readonly name: string; readonly steps: readonly Step[]; readonly sets: readonly (readonly string[])[]; }[] = [
        { name: "include those that a new controller finds, which have served for an unknown time", steps: [report(3)], sets: [loaded] },
        { name: "include those that later reports list, too", steps: [report(3), report(4)], sets: [loaded] },
        { name: "exclude those in use that were just loaded", steps: [empty, report(4)], sets: [] },
    ];
    cases.forEach(({ name, steps, sets: expected }) => it(name, () => assert.deepEqual(sets(steps), expected)));
});
