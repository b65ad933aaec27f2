import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { Availability, UpstreamAvailability } from "../src/core/upstreamAvailability";
import { UpstreamDirectory } from "../src/core/upstreamDirectory";
import { requestHeaderCodec } from "../src/platform/requestHeaderCodec";
import type { HeaderMap } from "../src/types/requestHeaderCodec";
import { createStoreVersion } from "../src/types/storeVersion";
import type { UpstreamServer } from "../src/types/upstreamServer";
import { UpstreamState } from "../src/types/upstreamServer";
import { setupLogs } from "../src/utils/events";

const address = "10.0.0.1:1";
const slots = 4;
const serverOf = (fields: Partial<UpstreamServer> = {}): UpstreamServer => ({
    id: "u1",
    service: "desk",
    address,
    availabilityZone: "a",
    slots,
    state: UpstreamState.Ready,
    models: [],
    inMemory: [],
    onDisk: [],
    bornAt: 5,
    acceptedOrders: 0,
    ...fields,
});

/** An upstream that is listed as ready, and what this node knows of it. */
const createFixture = () => {
    const directory = UpstreamDirectory.create();
    const traffic = { inFlight: 0 };
    const availability = UpstreamAvailability.create(directory, () => traffic.inFlight);
    let version = 0;
    const put = (fields: Partial<UpstreamServer> = {}): void => directory.apply({ id: fields.id ?? "u1", version: ++version, server: serverOf(fields) });
    const remove = (): void => directory.apply({ id: "u1", version: ++version });
    const answer = (status: number, headers: HeaderMap, bornAt = 5): void =>
        availability.onAnswer({ id: "u1", bornAt, address }, requestHeaderCodec.decodeAnswer(status, headers));
    put();
    return { directory, availability, traffic, put, remove, answer };
};
type Fixture = ReturnType<typeof createFixture>;
type Step = (fixture: Fixture) => void;

const leaving: HeaderMap = { "server-leaving": "1" };
const quiet = (seconds: string): HeaderMap => ({ "retry-after": seconds });

describe("availability of an upstream", () => {
    let clock: ReturnType<typeof install>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => {
        clock = install({ toFake: ["setTimeout", "clearTimeout", "Date", "performance"] });
    });
    afterEach(() => clock.uninstall());
    const pass = (ms: number): Step => () => void clock.tick(ms);
    const answer = (status: number, headers: HeaderMap, bornAt?: number): Step => fixture => fixture.answer(status, headers, bornAt);
    const put = (fields?: Partial<UpstreamServer>): Step => fixture => fixture.put(fields);
    const remove: Step = fixture => fixture.remove();

    const answers: readonly { readonly name: string; readonly status: number; readonly headers: HeaderMap; }[] = [
        { name: "a success", status: 200, headers: { "attempt-id": "id-1", "server-seal": "s" } },
        { name: "an error", status: 500, headers: { "server-seal": "s" } },
        { name: "a misdirected answer", status: 421, headers: { "instance-id": "u1" } },
        { name: "a misdirected answer without a name", status: 421, headers: {} },
        { name: "a refusal", status: 503, headers: { "not-executed": "1" } },
        { name: "a health answer", status: 200, headers: { "instance-id": "u1" } },
        { name: "a stream's head", status: 200, headers: { "content-type": "text/event-stream", "server-seal": "s" } },
        { name: "an answer to another request", status: 200, headers: { "attempt-id": "other" } },
        { name: "an informational answer", status: 103, headers: {} },
    ];
    const words: readonly { readonly name: string; readonly headers: HeaderMap; readonly isLeaving: boolean; readonly isQuiet: boolean; }[] = [
        { name: "leaving", headers: leaving, isLeaving: true, isQuiet: false },
        { name: "quiet", headers: quiet("2"), isLeaving: false, isQuiet: true },
        { name: "both", headers: { ...leaving, ...quiet("2") }, isLeaving: true, isQuiet: true },
    ];
    const rows: readonly { readonly name: string; readonly steps: readonly Step[]; readonly state: Availability; }[] = [
        { name: "a row that is ready", steps: [put()], state: Availability.Available },
        { name: "a draining row", steps: [put({ state: UpstreamState.Draining })], state: Availability.Draining },
        { name: "no row", steps: [remove], state: Availability.Gone },
        { name: "a row that is back", steps: [remove, put()], state: Availability.Available },
        { name: "a store that is away", steps: [], state: Availability.Available },
    ];
    for (const { name: answerName, status, headers } of answers) {
        for (const word of words) {
            for (const row of rows) {
                it(`follows ${answerName} with ${word.name} and ${row.name}`, () => {
                    const fixture = createFixture();
                    const { availability } = fixture;
                    fixture.answer(status, { ...headers, ...word.headers });
                    row.steps.forEach(step => step(fixture));
                    const isQuiet = word.isQuiet && status === 503;
                    const own = word.isLeaving ? Availability.Leaving : isQuiet ? Availability.Quiet : Availability.Available;
                    const stateNow = row.state === Availability.Available ? own : row.state;
                    const isTold = word.isLeaving || isQuiet;
                    assert.deepEqual([availability.of(serverOf()), availability.mayCall(serverOf())], [stateNow, !isTold]);
                    clock.tick(60_000);
                    const later = row.state === Availability.Available && !word.isLeaving ? Availability.Available : stateNow;
                    assert.deepEqual([availability.of(serverOf()), availability.mayCall(serverOf())], [later, !word.isLeaving]);
                });
            }
        }
    }

    interface Case {
        readonly name: string;
        readonly steps: readonly Step[];
        /** Process that is asked about; by default the one that is listed first. */
        readonly process?: Partial<UpstreamServer>;
        readonly state: Availability;
        readonly quietMs?: number;
    }
    const cases: readonly Case[] = [
        { name: "a later start lifts leaving", steps: [answer(200, leaving), put({ bornAt: 6 })], process: { bornAt: 6 }, state: Availability.Available },
        { name: "a later start lifts quiet", steps: [answer(503, quiet("9")), put({ bornAt: 6 })], process: { bornAt: 6 }, state: Availability.Available },
        {
            name: "a later start leaves an older row leaving",
            steps: [answer(200, leaving), put({ bornAt: 6 }), put()],
            state: Availability.Leaving,
        },
        {
            name: "what an earlier process said does not count for a later one",
            steps: [put({ bornAt: 6 }), answer(503, { ...leaving, ...quiet("9") }, 5)],
            process: { bornAt: 6 },
            state: Availability.Available,
        },
        {
            name: "what a later process said counts although its row is not known yet",
            steps: [answer(200, leaving, 6)],
            state: Availability.Leaving,
        },
        { name: "an earlier process is gone", steps: [put({ bornAt: 6 })], state: Availability.Gone },
        {
            name: "an entry that lapses and comes back is still quiet",
            steps: [answer(503, quiet("3")), remove, pass(1_000), put()],
            state: Availability.Quiet,
            quietMs: 2_000,
        },
        { name: "an entry that comes back late is still leaving", steps: [answer(200, leaving), remove, pass(7_200_000), put()], state: Availability.Leaving },
        {
            name: "a longer time extends quiet",
            steps: [answer(503, quiet("1")), pass(500), answer(503, quiet("2.5"))],
            state: Availability.Quiet,
            quietMs: 2_500,
        },
        {
            name: "a shorter time does not shorten quiet",
            steps: [answer(503, quiet("2")), pass(500), answer(503, quiet("0.1"))],
            state: Availability.Quiet,
            quietMs: 1_500,
        },
        { name: "a zero does not shorten quiet", steps: [answer(503, quiet("2")), answer(503, quiet("0"))], state: Availability.Quiet, quietMs: 2_000 },
        { name: "a fraction of a second counts", steps: [answer(503, quiet("0.25")), pass(249)], state: Availability.Quiet, quietMs: 1 },
        { name: "an absurd time is capped at an hour", steps: [answer(503, quiet("9".repeat(400)))], state: Availability.Quiet, quietMs: 3_600_000 },
        {
            name: "a step of the wall clock ends no quiet",
            steps: [answer(503, quiet("2")), () => clock.setSystemTime(Date.now() + 86_400_000)],
            state: Availability.Quiet,
            quietMs: 2_000,
        },
        {
            name: "an answer that names another instance speaks for that one",
            steps: [put({ id: "u2", bornAt: 9 }), answer(421, { ...leaving, "instance-id": "u2" })],
            process: { id: "u2", bornAt: 9 },
            state: Availability.Leaving,
        },
        {
            name: "an answer that names another instance does not speak for the one addressed",
            steps: [put({ id: "u2", bornAt: 9 }), answer(421, { ...leaving, "instance-id": "u2" })],
            state: Availability.Available,
        },
        {
            name: "an answer of an instance that is not listed speaks for none",
            steps: [answer(421, { ...leaving, "instance-id": "u9" })],
            state: Availability.Available,
        },
        {
            name: "a misdirected answer from an address in use again speaks for the process there",
            steps: [put({ id: "u2", bornAt: 9 }), answer(421, leaving)],
            process: { id: "u2", bornAt: 9 },
            state: Availability.Leaving,
        },
        {
            name: "a misdirected answer from an address in use again does not speak for the row's ID",
            steps: [put({ id: "u2", bornAt: 9 }), answer(421, leaving)],
            state: Availability.Available,
        },
        {
            name: "a restored older row takes no requests",
            steps: [
                answer(200, leaving),
                remove,
                ({ directory }) => directory.replace([{ id: "u1", version: createStoreVersion(1, 1), server: serverOf() }], createStoreVersion(1, 1), 0),
                pass(20_000),
            ],
            state: Availability.Leaving,
        },
        {
            name: "a peer's word counts",
            steps: [({ availability }) => availability.add({ id: "u1", bornAt: 5, ageMs: 1_000 })],
            state: Availability.Leaving,
        },
        {
            name: "a peer's word of an earlier process does not count",
            steps: [put({ bornAt: 6 }), ({ availability }) => availability.add({ id: "u1", bornAt: 5, ageMs: 1_000 })],
            process: { bornAt: 6 },
            state: Availability.Available,
        },
    ];
    for (const { name, steps, process, state, quietMs = 0 } of cases) {
        it(name, () => {
            const fixture = createFixture();
            steps.forEach(step => step(fixture));
            const server = serverOf(process);
            assert.equal(fixture.availability.of(server), state);
            assert.equal(Math.round(fixture.availability.quietMsOf(server)), quietMs);
        });
    }

    it("takes more and more requests after a quiet time", () => {
        const { availability, traffic, answer: onAnswer } = createFixture();
        const allowed = (): number => {
            for (traffic.inFlight = 0; traffic.inFlight < 100 && availability.mayTake(serverOf()); traffic.inFlight++) {
            }
            return traffic.inFlight;
        };
        onAnswer(503, quiet("1"));
        const counts = [0, 1_000, 250, 250, 250, 250, 1_990, 10].map(ms => {
            clock.tick(ms);
            return allowed();
        });
        assert.deepEqual(counts, [0, 1, 2, 3, 4, 5, 5, 100]);
    });

    it("remembers listed upstreams and a bounded number of others", () => {
        const { availability } = createFixture();
        availability.add({ id: "u1", bornAt: 5, ageMs: 0 });
        for (let index = 0; index < 5_000; index++) {
            availability.add({ id: `gone-${index}`, bornAt: 1, ageMs: 0 });
        }
        assert.equal(availability.of(serverOf()), Availability.Leaving);
        assert.equal(availability.changesSince(0).length, 513);
    });
});
