import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { ContactFailure } from "../src/types/contactFailure";
import { ContactState } from "../src/types/contactState";
import { EventId } from "../src/types/eventId";
import { processKey } from "../src/types/upstreamServer";
import { observeEvents, setupLogs } from "../src/utils/events";
import { PlacementFixture } from "./fakes/placementFixture";

const tickMs = 100;
const cutMs = 12_000;
/** Failed reports of each runner until the cut is known. */
const maxFailedReports = 5;

describe("a controller that is cut off from all runners", () => {
    let clock: ReturnType<typeof install>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => {
        clock = install({ toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"] });
    });
    afterEach(() => clock.uninstall());

    /** Lets time pass at a node that probes runners of a fixture. */
    const pass = async ({ gateway: { contact, directory }, control }: PlacementFixture, ms: number): Promise<void> => {
        for (let passedMs = 0; passedMs < ms; passedMs += tickMs) {
            const probed = contact.tick(() => directory.all());
            const sentAt = performance.now();
            await clock.tickAsync(tickMs);
            probed.forEach(server =>
                control.unreachableRunners.has(server.id)
                    ? contact.onProbeFailed(processKey(server), ContactFailure.Connect)
                    : contact.onProbeAnswered(processKey(server), sentAt)
            );
        }
    };

    it("keeps its view of them, and asks none while it is cut off", async () => {
        const fixture = await PlacementFixture.start(1);
        const { control, gateway, controller } = fixture;
        await pass(fixture, 5_000);
        let failedReports = 0;
        const stopObserving = observeEvents(event => failedReports += Number(event === EventId.ReportFailed));
        [...fixture.runners.keys()].forEach(id => control.unreachableRunners.add(id));
        await pass(fixture, cutMs);
        stopObserving();
        assert.equal(gateway.contact.state, ContactState.Lost);
        const during = await controller.place({ service: "desk", model: "m1", avoid: [], unreachable: [] });
        control.unreachableRunners.clear();
        await pass(fixture, 500);
        assert.equal(gateway.contact.state, ContactState.Held);
        assert.equal(during.isComing, true, "a runner is still known to have the model");
        assert.ok(failedReports <= maxFailedReports * fixture.runners.size, `${failedReports} failed reports`);
    });
});
