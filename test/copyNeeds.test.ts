import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { AwaitedCopies } from "../src/core/awaitedCopies";
import { CopyNeeds } from "../src/core/copyNeeds";
import { ModelDemand } from "../src/core/modelDemand";
import { boundOf, boundToVersion } from "../src/core/runnerBound";
import { VersionUse } from "../src/core/versionUse";
import type { PlacementRequest } from "../src/types/placement";
import { UpstreamState } from "../src/types/upstreamServer";
import type { TrackedRunner } from "./fakes/trackers";
import { createTracker } from "./fakes/trackers";

const lifetimeMs = 20_000;
const versionsOf = (needs: ReturnType<VersionUse["needsAt"]>): readonly string[] => needs.map(({ model, bound }) => `${model} ${bound.key}`).sort();

describe("the runners that a request may use", () => {
    const runners = [{ id: "a", softwareVersion: "v1" }, { id: "b", softwareVersion: "v1.1" }, { id: "c" }].map(createTracker);
    const cases: readonly { readonly name: string; readonly req: Pick<PlacementRequest, "versions" | "avoid">; readonly admitted: readonly string[]; }[] = [
        { name: "all, for a stream that has not begun", req: { versions: { excluded: [] }, avoid: ["a"] }, admitted: ["a", "b", "c"] },
        { name: "those of one version", req: { versions: { only: "v1", excluded: [] }, avoid: [] }, admitted: ["a"] },
        { name: "those that state no version", req: { versions: { only: "", excluded: [] }, avoid: [] }, admitted: ["c"] },
        { name: "those of no excluded version", req: { versions: { excluded: ["v1.1"] }, avoid: [] }, admitted: ["a", "c"] },
        { name: "those that a node of an earlier release does not list", req: { avoid: ["a", "c"] }, admitted: ["b"] },
    ];
    cases.forEach(({ name, req, admitted }) =>
        it(`are ${name}`, () => {
            const bound = boundOf({ service: "desk", model: "m", unreachable: [], ...req });
            assert.deepEqual(runners.filter(bound.admits).map(({ server }) => server.id), admitted);
        })
    );
});

describe("the value of copies at some of the runners", () => {
    const need = { model: "m1", bound: boundToVersion("v1"), firstValue: 1, secondValue: 0.1 };
    const at = (id: string, softwareVersion: string, state = UpstreamState.Ready): ReturnType<typeof createTracker> =>
        createTracker({ id, softwareVersion, models: ["m1"], state });
    const cases = [
        { name: "is that of a first copy while others have none", holders: ["v1.1"], gain: 1, loss: 1 },
        { name: "is that of a second copy beside one", holders: ["v1"], gain: 0.1, loss: 0.1 },
        { name: "is nothing beside two", holders: ["v1", "v1"], gain: 0, loss: 0 },
    ];
    cases.forEach(({ name, holders, gain, loss }) =>
        it(name, () => {
            const needs = CopyNeeds.create([need]);
            const others = holders.map((version, index) => at(`o${index}`, version));
            const tracker = at("t", "v1");
            assert.equal(needs.gainAt("m1", tracker, others), gain);
            assert.equal(needs.maxGain("m1", others), gain);
            assert.equal(needs.lossAt("m1", tracker, [...others, tracker]), loss);
            assert.equal(needs.gainAt("m1", at("b", "v1.1"), others), 0, "at a runner that does not count");
            assert.equal(needs.gainAt("m2", tracker, others), 0, "for another model");
        })
    );
});

describe("the versions that need copies for streams that may return", () => {
    let clock: ReturnType<typeof install>;
    beforeEach(() => clock = install({ toFake: ["setTimeout", "clearTimeout", "performance"] }));
    afterEach(() => clock.uninstall());

    const both: readonly TrackedRunner[] = [{ id: "a", softwareVersion: "v1", models: ["m1"] }, { id: "b", softwareVersion: "v1.1" }];
    const cases: readonly {
        readonly name: string;
        readonly before: readonly TrackedRunner[];
        readonly now: readonly TrackedRunner[];
        readonly afterMs?: number;
        readonly lifetime?: number;
        readonly needs: readonly string[];
    }[] = [
        { name: "are those that served the model", before: both, now: both, needs: ["m1 only v1"] },
        {
            name: "are known after the only copy is gone",
            before: both,
            now: [{ id: "c", softwareVersion: "v1" }, { id: "b", softwareVersion: "v1.1", models: ["m1"] }],
            needs: ["m1 only v1", "m1 only v1.1"],
        },
        { name: "are none while there is one version", before: [both[0]!], now: [both[0]!, { id: "c", softwareVersion: "v1" }], needs: [] },
        { name: "are only those that have runners", before: both, now: [both[1]!, { id: "d", softwareVersion: "v1.2" }], needs: [] },
        {
            name: "are only those that have runners which take requests",
            before: both,
            now: [{ ...both[0]!, state: UpstreamState.Draining }, both[1]!, { id: "d", softwareVersion: "v1.2" }],
            needs: [],
        },
        { name: "are none once no stream may return", before: both, now: [{ id: "c", softwareVersion: "v1" }, both[1]!], afterMs: lifetimeMs, needs: [] },
        { name: "are none if callers may not take streams up", before: both, now: both, lifetime: 0, needs: [] },
    ];
    cases.forEach(({ name, before, now, afterMs = 5_000, lifetime = lifetimeMs, needs }) =>
        it(name, () => {
            const demand = ModelDemand.create();
            const use = VersionUse.create(() => lifetime);
            demand.count("m1", 400);
            use.observe(before.map(createTracker), demand);
            clock.tick(afterMs);
            const trackers = now.map(createTracker);
            use.observe(trackers, demand);
            assert.deepEqual(versionsOf(use.needsAt(trackers)), needs);
        })
    );

    it("value a first copy by the load that was there, ever less", () => {
        const demand = ModelDemand.create();
        const use = VersionUse.create(() => lifetimeMs);
        demand.count("m1", 2_000);
        use.observe(both.map(createTracker), demand);
        const left = [{ id: "c", softwareVersion: "v1" }, both[1]!].map(createTracker);
        const values = [0, 5_000, 5_000, 5_000].map(passMs => {
            clock.tick(passMs);
            return use.needsAt(left)[0]!.firstValue;
        });
        assert.deepEqual([...values].sort((a, b) => b - a), values);
        assert.ok(values[0]! > 1.4 * values[3]!, values.join(" "));
    });
});

describe("copies that requests wait for", () => {
    let clock: ReturnType<typeof install>;
    beforeEach(() => clock = install({ toFake: ["setTimeout", "clearTimeout", "performance"] }));
    afterEach(() => clock.uninstall());

    it("are kept for a short time, each once, and in a bounded number", () => {
        const awaited = AwaitedCopies.create();
        assert.equal(awaited.add("desk", "m1", boundToVersion("v1")), true);
        assert.equal(awaited.add("desk", "m1", boundToVersion("v1")), false);
        awaited.add("desk", "m2");
        awaited.add("other", "m3", boundToVersion("v1"));
        assert.deepEqual(awaited.needsOf("desk").map(({ model }) => model), ["m1"]);
        assert.deepEqual([...awaited.modelsOf("desk")], ["m2"]);
        clock.tick(1_500);
        assert.deepEqual([...awaited.needsOf("desk"), ...awaited.modelsOf("desk")], []);
        assert.equal(awaited.add("desk", "m1", boundToVersion("v1")), true);
        [...Array(2_000).keys()].forEach(index => awaited.add("desk", "m1", boundToVersion(`w${index}`)));
        assert.equal(awaited.needsOf("desk").length, 500);
    });
});
