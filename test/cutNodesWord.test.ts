import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { FailureError } from "../src/core/failures";
import { UpstreamContact } from "../src/core/upstreamContact";
import { UpstreamTraffic } from "../src/core/upstreamTraffic";
import { unreachableRunners } from "../src/forward/unreachableRunners";
import type { Controller } from "../src/placement/controller";
import type { RunnerManager } from "../src/placement/runnerManager";
import { ContactFailure } from "../src/types/contactFailure";
import { EventId } from "../src/types/eventId";
import { FailureKind } from "../src/types/failureKind";
import { Verdict } from "../src/types/verdict";
import { observeEvents, setupLogs } from "../src/utils/events";
import { PlacementFixture, placementTestService } from "./fakes/placementFixture";

/** What a node has seen of two runners, `x` and `y`, and of the others. */
interface Seen {
    readonly contact: UpstreamContact;
    fail(id: string): void;
}

const managerOf = (controller: Controller): RunnerManager => (controller as unknown as { readonly manager: RunnerManager; }).manager;

describe("the word of a node on runners that it does not reach", () => {
    let clock: ReturnType<typeof install>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => {
        clock = install({ toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"] });
    });
    afterEach(() => clock.uninstall());

    const answer = ({ contact }: Seen): void => {
        clock.tick(1);
        contact.onWord("z@1", performance.now());
    };
    const cases: readonly { readonly name: string; readonly see: (seen: Seen) => void; readonly told: readonly string[]; }[] = [
        { name: "a failure at one, so far", see: seen => seen.fail("x"), told: [] },
        {
            name: "a failure at one, and an answer on an open connection",
            see: seen => {
                const openedAt = performance.now();
                clock.tick(1);
                seen.fail("x");
                seen.contact.onWord("z@1", openedAt);
            },
            told: [],
        },
        {
            name: "a failure at one, and an answer over a new connection",
            see: seen => {
                seen.fail("x");
                answer(seen);
            },
            told: ["x"],
        },
        {
            name: "failures at two",
            see: seen => {
                seen.fail("x");
                seen.fail("y");
            },
            told: [],
        },
        {
            name: "failures at two, which a new connection explains",
            see: seen => {
                seen.fail("x");
                seen.fail("y");
                answer(seen);
            },
            told: ["x", "y"],
        },
    ];
    for (const { name, see, told } of cases) {
        it(`is passed on only if the path is there: ${name}`, () => {
            const contact = UpstreamContact.create(() => 0.5);
            const traffic = { x: UpstreamTraffic.create(), y: UpstreamTraffic.create(), z: UpstreamTraffic.create() };
            clock.tick(10);
            see({
                contact,
                fail: id => {
                    traffic[id as "x"].onUnreachable();
                    contact.onFailure(`${id}@1`, ContactFailure.Connect);
                },
            });
            assert.deepEqual(unreachableRunners({ contact, trafficOf: id => traffic[id as "x"] }, new Set(["x", "y", "z"])), told);
        });
    }

    const reportFailures: readonly { readonly kind: FailureKind; readonly isReachable: boolean; }[] = [
        { kind: FailureKind.UpstreamLost, isReachable: false },
        { kind: FailureKind.Internal, isReachable: true },
    ];
    for (const { kind, isReachable } of reportFailures) {
        it(`is ${isReachable ? "not " : ""}given by a controller whose requests for reports fail: ${kind}`, async () => {
            const fixture = await PlacementFixture.start(1, 2);
            await clock.tickAsync(4_000);
            fixture.control.fetchReport = () => Promise.reject(FailureError.create({ kind, verdict: Verdict.MayHaveRun, detail: "injected" }));
            await clock.tickAsync(4_000);
            const trackers = managerOf(fixture.controller).trackersOf(placementTestService);
            assert.deepEqual(trackers.map(tracker => tracker.isReachable), [isReachable, isReachable]);
        });
    }

    it("makes the controller ask sound runners once in a while only", async () => {
        const runnerCount = 6;
        const playMs = 12_000;
        const maxPerRunner = 3;
        let suspected = 0;
        const stopObserving = observeEvents(event => suspected += Number(event === EventId.RunnerSuspected));
        const fixture = await PlacementFixture.start(1, runnerCount);
        await clock.tickAsync(4_000);
        const unreachable = [...fixture.runners.keys()];
        for (let passedMs = 0; passedMs < playMs; passedMs += 100) {
            void fixture.controller.place({ service: "desk", model: "m1", avoid: [], unreachable });
            await clock.tickAsync(100);
        }
        stopObserving();
        assert.ok(suspected >= runnerCount && suspected <= maxPerRunner * runnerCount, `${suspected} times`);
    });
});
