import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { UpstreamContact } from "../src/core/upstreamContact";
import { ContactFailure } from "../src/types/contactFailure";
import { ContactState } from "../src/types/contactState";
import { setupLogs } from "../src/utils/events";
import type { ContactSimulationOptions } from "./fakes/contactSimulation";
import { ContactSimulation, Link } from "./fakes/contactSimulation";

/** Time in which a node must know of a cut, well below the 3 s after which it counts as out of contact. */
const maxLossMs = 1_500;
/** While open connections live on, a cut shows only once a new connection is needed. */
const maxLossWithOpenConnectionsMs = 2_500;
/** Time after the end of a cut in which the node must know of it. */
const maxRegainMs = 1_000;
const warmUpMs = 3_000;
const cutMs = 12_000;
/** Probes that a node may send in a second while the path is lost. */
const maxLostProbesPerS = 8;

interface Traffic extends ContactSimulationOptions {
    readonly name: string;
}

const traffics: readonly Traffic[] = [
    { name: "many requests", requestPauseMs: 5 },
    { name: "many requests, mostly on kept connections", requestPauseMs: 5, keptShare: 0.95 },
    { name: "few requests", requestPauseMs: 300 },
    { name: "slow requests", requestPauseMs: 50, latencyMs: 1_200 },
    { name: "no requests" },
    { name: "no requests and two upstreams", upstreams: 2 },
    { name: "many requests and 400 upstreams", requestPauseMs: 5, upstreams: 400 },
];
const cuts: readonly Link[] = [Link.Hanging, Link.Mute, Link.Reset, Link.NewRefused];

describe("the belief on the own path to upstreams", () => {
    let clock: ReturnType<typeof install>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => {
        clock = install({ toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"] });
    });
    afterEach(() => clock.uninstall());

    for (const link of cuts) {
        for (const { name, ...options } of traffics) {
            for (const seed of [1, 2, 3]) {
                it(`is lost soon after a cut and held soon after its end: ${link}, ${name} (seed ${seed})`, async () => {
                    const fleet = ContactSimulation.create(clock, { ...options, seed });
                    await fleet.pass(warmUpMs + 37 * seed);
                    assert.equal(fleet.contact.lossCount, 0, "before the cut");
                    const cutAt = performance.now();
                    fleet.link = link;
                    await fleet.pass(cutMs);
                    const lostAt = fleet.changeAfter(cutAt, ContactState.Lost) ?? Number.POSITIVE_INFINITY;
                    const maxMs = link === Link.NewRefused ? maxLossWithOpenConnectionsMs : maxLossMs;
                    assert.ok(lostAt - cutAt <= maxMs, `lost after ${lostAt - cutAt} ms`);
                    assert.ok(lostAt - fleet.firstFailureAt! <= maxLossMs, `lost ${lostAt - fleet.firstFailureAt!} ms after the first failure`);
                    assert.deepEqual(fleet.statesAfter(lostAt), [ContactState.Lost], "until the end");
                    const probes = fleet.probed.filter(({ at }) => at > lostAt);
                    assert.ok(probes.length <= maxLostProbesPerS * cutMs / 1_000, `${probes.length} probes`);
                    if (fleet.servers.length > 2) {
                        assert.ok(new Set(probes.map(({ id }) => id)).size >= 20, "upstreams are probed in turn");
                    }
                    const healedAt = performance.now();
                    fleet.link = Link.Sound;
                    await fleet.pass(warmUpMs);
                    const heldAt = fleet.changeAfter(healedAt, ContactState.Held) ?? Number.POSITIVE_INFINITY;
                    assert.ok(heldAt - healedAt <= maxRegainMs, `held after ${heldAt - healedAt} ms`);
                    assert.equal(fleet.contact.lossCount, 1, "after the cut");
                });
            }
        }
    }

    it("is lost while all upstreams are down, and held once one is back", async () => {
        const fleet = ContactSimulation.create(clock, { requestPauseMs: 5 });
        await fleet.pass(warmUpMs);
        fleet.servers.forEach(({ id }) => fleet.crashed.add(id));
        await fleet.pass(3_000);
        assert.equal(fleet.contact.state, ContactState.Lost);
        const backAt = performance.now();
        fleet.servers.slice(0, 12).forEach(({ id }) => fleet.crashed.delete(id));
        await fleet.pass(3_000);
        assert.ok(fleet.changeAfter(backAt, ContactState.Held)! - backAt <= maxRegainMs);
    });

    for (const upstreams of [24, 400]) {
        it(`is held soon after one of ${upstreams} upstreams, which were all down, has been started again`, async () => {
            const fleet = ContactSimulation.create(clock, { upstreams });
            await fleet.pass(warmUpMs);
            fleet.servers.forEach(({ id }) => fleet.crashed.add(id));
            await fleet.pass(3_000);
            assert.equal(fleet.contact.state, ContactState.Lost);
            const backAt = performance.now();
            const [first] = fleet.servers;
            fleet.servers = fleet.servers.map(server => server === first ? { ...server, bornAt: 2 } : server);
            fleet.crashed.delete(first!.id);
            await fleet.pass(3_000);
            const heldAt = fleet.changeAfter(backAt, ContactState.Held) ?? Number.POSITIVE_INFINITY;
            assert.ok(heldAt - backAt <= maxRegainMs, `held after ${heldAt - backAt} ms`);
        });
    }

    it("is lost at a node that has started in a cut", async () => {
        const fleet = ContactSimulation.create(clock);
        fleet.link = Link.Mute;
        await fleet.pass(2_000);
        assert.equal(fleet.contact.state, ContactState.Lost);
    });

    describe("of several probes at once", () => {
        const failuresAtTwo = (contact: UpstreamContact): void => {
            contact.onFailure("x@1", ContactFailure.Ended);
            contact.onFailure("y@1", ContactFailure.Ended);
        };

        it("asks upstreams of several services and zones at once", () => {
            const { servers } = ContactSimulation.create(clock);
            const contact = UpstreamContact.create(() => 0.5);
            failuresAtTwo(contact);
            const targets = contact.tick(() => servers);
            assert.equal(contact.state, ContactState.Doubted);
            assert.equal(targets.length, 3);
            assert.equal(new Set(targets.map(({ service }) => service)).size, 3);
            assert.equal(new Set(targets.map(({ availabilityZone }) => availabilityZone)).size, 2);
        });

        interface Case {
            readonly name: string;
            readonly steps: (contact: UpstreamContact) => void;
            readonly state: ContactState;
        }
        const cases: readonly Case[] = [
            { name: "one failed connection", steps: contact => contact.onFailure("x@1", ContactFailure.Connect), state: ContactState.Held },
            {
                name: "two at one process",
                steps: contact => [0, 1].forEach(() => contact.onFailure("x@1", ContactFailure.Connect)),
                state: ContactState.Held,
            },
            { name: "two at two processes", steps: failuresAtTwo, state: ContactState.Doubted },
            { name: "one request that this node could not send", steps: contact => contact.onFailure("x@1", ContactFailure.Own), state: ContactState.Held },
            {
                name: "two requests that this node could not send, with a connection opened in between",
                steps: contact => {
                    contact.onFailure("x@1", ContactFailure.Own);
                    contact.onOpened();
                    contact.onFailure("y@1", ContactFailure.Own);
                },
                state: ContactState.Doubted,
            },
            {
                name: "one probe that this node could not send",
                steps: contact => contact.onProbeFailed("x@1", ContactFailure.Own),
                state: ContactState.Doubted,
            },
            { name: "one probe whose connection failed", steps: contact => contact.onProbeFailed("x@1", ContactFailure.Connect), state: ContactState.Held },
            {
                name: "two, with a connection opened in between",
                steps: contact => {
                    contact.onFailure("x@1", ContactFailure.Connect);
                    contact.onOpened();
                    contact.onFailure("y@1", ContactFailure.Connect);
                },
                state: ContactState.Held,
            },
            {
                name: "two resets, with a connection opened in between",
                steps: contact => {
                    contact.onFailure("x@1", ContactFailure.Ended);
                    contact.onOpened();
                    contact.onFailure("y@1", ContactFailure.Ended);
                },
                state: ContactState.Doubted,
            },
            {
                name: "two, with an answer on an open connection in between",
                steps: contact => {
                    contact.onFailure("x@1", ContactFailure.Connect);
                    contact.onWord("z@1", performance.now() - 1);
                    contact.onFailure("y@1", ContactFailure.Connect);
                },
                state: ContactState.Doubted,
            },
            {
                name: "two, with an answer on a new connection in between",
                steps: contact => {
                    contact.onFailure("x@1", ContactFailure.Ended);
                    clock.tick(1);
                    contact.onWord("z@1", performance.now());
                    contact.onFailure("y@1", ContactFailure.Ended);
                },
                state: ContactState.Held,
            },
            {
                name: "two, and an answer on a connection that was opened later",
                steps: contact => {
                    failuresAtTwo(contact);
                    clock.tick(1);
                    contact.onWord("z@1", performance.now());
                },
                state: ContactState.Held,
            },
            {
                name: "two, and an answer on a connection that was open before",
                steps: contact => {
                    const openedAt = performance.now();
                    failuresAtTwo(contact);
                    clock.tick(1);
                    contact.onWord("z@1", openedAt);
                },
                state: ContactState.Doubted,
            },
        ];
        for (const { name, steps, state } of cases) {
            it(`is ${state} after: ${name}`, () => {
                const contact = UpstreamContact.create(() => 0.5);
                contact.tick(() => []);
                clock.tick(10);
                steps(contact);
                assert.equal(contact.state, state);
            });
        }
    });
});
