import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { CopyNeed } from "../src/core/copyNeed";
import { boundToVersion } from "../src/core/runnerBound";
import { findOvertakenLoads } from "../src/placement/overtakenLoads";
import type { TrackedRunner } from "./fakes/trackers";
import { createTracker } from "./fakes/trackers";

/** Guards against streams that wait for a load which was planned before they came back. */
describe("planned loads that requests overtake", () => {
    const need = (model: string, version: string): CopyNeed => ({ model, bound: boundToVersion(version), firstValue: 1, secondValue: 0 });
    const awaited = (model: string, version: string): CopyNeed => ({ ...need(model, version), delayCostPerS: 1 });
    const free: TrackedRunner = { id: "a", softwareVersion: "v1" };
    const cases: readonly {
        readonly name: string;
        readonly runners: readonly TrackedRunner[];
        readonly needs: readonly CopyNeed[];
        readonly planned?: Readonly<Record<string, string>>;
        readonly overtaken: readonly string[];
    }[] = [
        { name: "are those at runners that requests may use", runners: [free], needs: [awaited("m1", "v1")], overtaken: ["a"] },
        { name: "are none at other versions", runners: [free], needs: [awaited("m1", "v1.1")], overtaken: [] },
        { name: "are none for copies that no request waits for", runners: [free], needs: [need("m1", "v1")], overtaken: [] },
        { name: "are none while memory is being freed", runners: [{ ...free, isBusy: true }], needs: [awaited("m1", "v1")], overtaken: [] },
        { name: "are none beside a copy", runners: [free, { id: "b", softwareVersion: "v1", models: ["m1"] }], needs: [awaited("m1", "v1")], overtaken: [] },
        {
            name: "are none beside a planned copy that can be loaded now",
            runners: [free, { id: "b", softwareVersion: "v1" }],
            needs: [awaited("m1", "v1")],
            planned: { a: "m9", b: "m1" },
            overtaken: [],
        },
        {
            name: "are those beside a planned copy that waits for memory",
            runners: [free, { id: "b", softwareVersion: "v1", isBusy: true }],
            needs: [awaited("m1", "v1")],
            planned: { a: "m9", b: "m1" },
            overtaken: ["a"],
        },
        { name: "are not those that requests wait for, too", runners: [free], needs: [awaited("m1", "v1"), awaited("m9", "v1")], overtaken: [] },
    ];
    cases.forEach(({ name, runners, needs, planned = { a: "m9" }, overtaken }) =>
        it(name, () => assert.deepEqual(findOvertakenLoads(new Map(Object.entries(planned)), runners.map(createTracker), needs), overtaken))
    );
});
