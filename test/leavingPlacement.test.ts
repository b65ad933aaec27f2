import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { CrashLog } from "../src/core/crashLog";
import { RunnerLimits } from "../src/core/runnerLimits";
import { Availability, UpstreamAvailability } from "../src/core/upstreamAvailability";
import { UpstreamDirectory } from "../src/core/upstreamDirectory";
import { FactExchange } from "../src/placement/factExchange";
import type { UpstreamWord } from "../src/types/upstreamWord";
import { setupLogs } from "../src/utils/events";
import { PlacementFixture } from "./fakes/placementFixture";

const silence: UpstreamWord = { isLeaving: false, isMisdirected: false, ignoredHeaders: [] };

describe("placement beside what runners say", () => {
    let clock: ReturnType<typeof install>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => clock = install({ toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"] }));
    afterEach(() => clock.uninstall());

    /** Calls that a runner gets within a time, by a hook on the controller's client. */
    const countCalls = async (fixture: PlacementFixture, id: string, ms: number): Promise<number> => {
        const { control } = fixture;
        let calls = 0;
        const { fetchReport, order } = control;
        control.fetchReport = runner => {
            calls += Number(runner.id === id);
            return fetchReport.call(control, runner);
        };
        control.order = (runner, content) => {
            calls += Number(runner.id === id);
            return order.call(control, runner, content);
        };
        await clock.tickAsync(ms);
        Object.assign(control, { fetchReport, order });
        return calls;
    };
    const say = ({ gateway }: PlacementFixture, id: string, word: Partial<UpstreamWord>): void =>
        gateway.availability.onAnswer(gateway.directory.get(id)!, { ...silence, ...word });

    it("sends a runner that says that it is leaving neither orders nor calls for reports, and no adapter is placed there", async () => {
        const fixture = await PlacementFixture.start(1, 2, () => ["m1"]);
        await clock.tickAsync(4_000);
        say(fixture, "r0", { isLeaving: true });
        // Orders may be lost: the placement is asked for again, as nodes do.
        const runners = new Set<string | undefined>();
        for (let index = 0; index < 20; index++) {
            void fixture.controller.place({ service: "desk", model: "m1", adapter: "a1", avoid: [], unreachable: [] }).then(({ runner }) =>
                runners.add(runner)
            );
            assert.equal(await countCalls(fixture, "r0", 300), 0);
        }
        runners.delete(undefined);
        assert.deepEqual([...runners], ["r1"]);
    });

    it("calls a runner that asks for quiet after that time only, and keeps its copies", async () => {
        const fixture = await PlacementFixture.start(1, 2);
        await clock.tickAsync(4_000);
        say(fixture, "r0", { quietMs: 3_000 });
        const during = await countCalls(fixture, "r0", 2_900);
        const { readyInMs, isComing } = await fixture.controller.place({ service: "desk", model: "m0", avoid: [], unreachable: [] });
        const afterwards = await countCalls(fixture, "r0", 3_000);
        assert.deepEqual([during, readyInMs, isComing, afterwards > 0], [0, 0, true, true]);
    });

    it("does not take a runner that answers calls for reports by asking for quiet for one that has failed", async () => {
        const fixture = await PlacementFixture.start(1, 2);
        await clock.tickAsync(4_000);
        const { control } = fixture;
        const { fetchReport } = control;
        control.fetchReport = async runner => {
            if (runner.id === "r0") {
                say(fixture, "r0", { quietMs: 100 });
                throw new Error("status 503");
            }
            return await fetchReport.call(control, runner);
        };
        await clock.tickAsync(8_000);
        const { runner, isComing } = await fixture.controller.place({ service: "desk", model: "m0", avoid: [], unreachable: [] });
        assert.deepEqual([runner, isComing], ["r0", true]);
    });

    it("tells other nodes of a runner that is leaving, and not of one that asks for quiet", () => {
        const createNode = () => {
            const counter = { value: 0 };
            const directory = UpstreamDirectory.create();
            const availability = UpstreamAvailability.create(directory, undefined, counter);
            return { availability, exchange: FactExchange.create(counter, CrashLog.create(counter), RunnerLimits.create(counter), availability) };
        };
        const [a, b, c] = [createNode(), createNode(), createNode()];
        const report = (from: typeof a, to: typeof a): void => {
            const prepared = from.exchange.prepare("hub");
            from.exchange.onAnswer(prepared, to.exchange.serve(prepared.report));
        };
        a.availability.onAnswer({ id: "u1", bornAt: 5, address: "a" }, { ...silence, isLeaving: true });
        a.availability.onAnswer({ id: "u2", bornAt: 5, address: "b" }, { ...silence, quietMs: 9_000 });
        report(a, b);
        report(c, b);
        assert.deepEqual([b, c].map(({ availability }) => ["u1", "u2"].map(id => availability.mayCall({ id, bornAt: 5 }))), [[false, true], [false, true]]);
        assert.equal(c.availability.of({ id: "u1", bornAt: 5 }), Availability.Gone);
    });
});
