import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { Adoption } from "../src/placement/adoption";
import { setupLogs } from "../src/utils/events";
import { PlacementFixture, placementTestService as service } from "./fakes/placementFixture";
import { createTracker } from "./fakes/trackers";

describe("a new controller", () => {
    let clock: ReturnType<typeof install>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => clock = install({ toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"] }));
    afterEach(() => clock.uninstall());

    const cases: readonly { readonly name: string; readonly hasReport: boolean; readonly afterMs: number; readonly isPending: boolean; }[] = [
        { name: "begins once all runners have reported", hasReport: true, afterMs: 0, isPending: false },
        { name: "waits for a runner that has not reported", hasReport: false, afterMs: 900, isPending: true },
        { name: "does not wait for long for a runner that is gone", hasReport: false, afterMs: 1_000, isPending: false },
    ];
    cases.forEach(({ name, hasReport, afterMs, isPending }) =>
        it(name, () => {
            const adoption = Adoption.create();
            adoption.begin();
            clock.tick(afterMs);
            adoption.update(service, [createTracker({ id: "a" }), createTracker({ id: "b", hasReport })]);
            assert.equal(adoption.isPending(service), isPending);
        })
    );

    it("waits again after the next takeover", () => {
        const adoption = Adoption.create();
        adoption.begin();
        adoption.update(service, []);
        adoption.begin();
        assert.equal(adoption.isPending(service), true);
    });

    it("loads no model that a runner holds whose report comes late", async () => {
        const fixture = await PlacementFixture.start(1);
        const { runners, control, controller } = fixture;
        const fetchReport = control.fetchReport.bind(control);
        control.fetchReport = async runner => {
            if (runner.id === "r3") {
                await new Promise(resolve => setTimeout(resolve, 300));
            }
            return fetchReport(runner);
        };
        for (let step = 0; step < 20; step++) {
            await clock.tickAsync(100);
            const { isComing } = await controller.place({ service, model: "m3", avoid: [], unreachable: [] });
            assert.equal(isComing, true, "refused although a report may tell of a copy");
        }
        assert.deepEqual([...runners.values()].filter(({ models, isBusy }) => models.has("m3") || isBusy).map(({ id }) => id), ["r3"]);
    });
});
