import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ResidencyView } from "../src/core/residencyView";
import type { UpstreamServer } from "../src/types/upstreamServer";
import { UpstreamState } from "../src/types/upstreamServer";

const model = "m";
const id = "r1";
const longMs = 60_000;

const serverWith = (...models: readonly string[]): UpstreamServer => ({
    id,
    service: "desk",
    address: "127.0.0.1:1",
    availabilityZone: "a",
    slots: 8,
    state: UpstreamState.Ready,
    models: models.map(name => ({ name, version: 1, adapters: [] })),
    inMemory: [],
    onDisk: [],
    bornAt: 1,
    acceptedOrders: 0,
});

interface ResidencyCase {
    readonly name: string;
    readonly act: (view: ResidencyView, passTime: (ms: number) => void) => void;
    /** Models that the directory lists. */
    readonly listed?: readonly string[];
    readonly has: boolean;
    readonly isExpected: boolean;
}

const expectTooEarly = (view: ResidencyView): void => {
    view.expectModel(id, model);
    view.onTooEarly(id, model);
};

const cases: readonly ResidencyCase[] = [
    { name: "is there once it is expected", act: view => view.expectModel(id, model), has: true, isExpected: true },
    { name: "is known once it is reported", act: view => view.addModel(id, model), has: true, isExpected: false },
    {
        name: "is known once an expected one is reported",
        act: view => {
            view.expectModel(id, model);
            view.addModel(id, model);
        },
        has: true,
        isExpected: false,
    },
    {
        name: "stays known if it is then expected",
        act: view => {
            view.addModel(id, model);
            view.expectModel(id, model);
        },
        has: true,
        isExpected: false,
    },
    { name: "is known if the directory lists it", act: view => view.expectModel(id, model), listed: [model], has: true, isExpected: false },
    { name: "is not there after a request came too early", act: expectTooEarly, has: false, isExpected: false },
    {
        name: "is not expected again after a request came too early",
        act: (view, passTime) => {
            expectTooEarly(view);
            passTime(longMs);
            view.expectModel(id, model);
        },
        has: false,
        isExpected: false,
    },
    {
        name: "is there once it is reported after a request came too early",
        act: view => {
            expectTooEarly(view);
            view.addModel(id, model);
        },
        has: true,
        isExpected: false,
    },
    {
        name: "may be expected again once the directory entry has changed",
        act: view => {
            expectTooEarly(view);
            view.onDirectoryChange(id);
            view.expectModel(id, model);
        },
        has: true,
        isExpected: true,
    },
    {
        name: "stays there if a request that was too early is refused after the report",
        act: view => {
            view.expectModel(id, model);
            view.addModel(id, model);
            view.onTooEarly(id, model);
        },
        has: true,
        isExpected: false,
    },
    {
        name: "is there if it is expected after a runner lacked it",
        act: view => {
            view.onAbsent(id, model, model);
            view.expectModel(id, model);
        },
        has: true,
        isExpected: true,
    },
];

/** Guards against requests that are kept from a runner for good because its load took longer than was estimated. */
describe("a model on a runner", () => {
    cases.forEach(({ name, act, listed = [], has, isExpected }) =>
        it(name, () => {
            let now = 0;
            const view = ResidencyView.create(() => now);
            act(view, ms => void (now += ms));
            assert.equal(view.hasModel(serverWith(...listed), model), has);
            assert.equal(view.isExpected(serverWith(...listed), model), isExpected);
        })
    );
});
