import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { UpstreamState } from "../src/types/upstreamServer";
import { setupLogs } from "../src/utils/events";
import { PlacementFixture, placementTestService as service } from "./fakes/placementFixture";

const stepMs = 50;
/** A stream that is taken up has about this long to go on. */
const takeUpMs = 6_000;

/**
 * Guards against streams that cannot go on although runners of their software version are there: the only one of that version that had the model crashed, and
 * runners of other versions, which are excluded, still have it.
 */
describe("placement for a stream that excludes runners", () => {
    let clock: ReturnType<typeof install>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => clock = install({ toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"] }));
    afterEach(() => clock.uninstall());

    it("loads a model at another runner if all runners that have it are excluded", async () => {
        const { controller } = await PlacementFixture.start(1, 3, index => [`m${index + 1}`]);
        await clock.tickAsync(1_000);
        let runner: string | undefined;
        for (let passedMs = 0; passedMs < takeUpMs && runner === undefined; passedMs += stepMs) {
            ({ runner } = await controller.place({ service, model: "m1", avoid: ["r0"], unreachable: [] }));
            await clock.tickAsync(stepMs);
        }
        assert.ok(runner !== undefined && runner !== "r0", `placed at ${runner}`);
    });

    it("loads a model at another runner if the only one that has it is leaving", async () => {
        const { controller, gateway } = await PlacementFixture.start(1, 3, index => [`m${index + 1}`]);
        await clock.tickAsync(1_000);
        const leaving = { ...gateway.directory.get("r0")!, state: UpstreamState.Draining };
        gateway.directory.apply({ id: "r0", version: Number.MAX_SAFE_INTEGER, server: leaving });
        let runner: string | undefined;
        for (let passedMs = 0; passedMs < takeUpMs && (runner === undefined || runner === "r0"); passedMs += stepMs) {
            ({ runner } = await controller.place({ service, model: "m1", avoid: [], unreachable: [] }));
            await clock.tickAsync(stepMs);
        }
        assert.ok(runner !== undefined && runner !== "r0", `placed at ${runner}`);
    });
});
