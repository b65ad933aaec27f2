import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { ContactFailure } from "../src/types/contactFailure";
import { ContactState } from "../src/types/contactState";
import { setupLogs } from "../src/utils/events";
import type { ContactSimulationOptions } from "./fakes/contactSimulation";
import { ContactSimulation } from "./fakes/contactSimulation";

const warmUpMs = 3_000;
/** Probes that a node without requests may send in a second. */
const maxIdleProbesPerS = 2;

describe("the belief on a sound path to upstreams", () => {
    let clock: ReturnType<typeof install>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => {
        clock = install({ toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"] });
    });
    afterEach(() => clock.uninstall());

    interface SoundCase {
        readonly name: string;
        readonly options?: ContactSimulationOptions;
        readonly play: (fleet: ContactSimulation) => Promise<void>;
        /** Whether a doubt may arise that probes end. */
        readonly mayDoubt?: boolean;
        readonly maxProbesPerS?: number;
    }
    const soundCases: readonly SoundCase[] = [
        { name: "many requests, for which nothing is probed", options: { requestPauseMs: 5 }, play: fleet => fleet.pass(30_000), maxProbesPerS: 0 },
        { name: "no requests", play: fleet => fleet.pass(30_000), maxProbesPerS: maxIdleProbesPerS },
        {
            name: "one slow request after the other",
            options: { requestPauseMs: 1_500, latencyMs: 1_400 },
            play: fleet => fleet.pass(30_000),
            maxProbesPerS: maxIdleProbesPerS,
        },
        {
            name: "one upstream crashes",
            options: { requestPauseMs: 5 },
            play: async fleet => {
                fleet.crashed.add("u1");
                await fleet.pass(10_000);
            },
            maxProbesPerS: 0,
        },
        {
            name: "one upstream is silent for a second and goes on, beside few requests",
            options: { requestPauseMs: 200 },
            play: async fleet => {
                for (let round = 0; round < 10; round++) {
                    fleet.silent.add(`u${round}`);
                    await fleet.pass(1_500);
                    fleet.silent.clear();
                    await fleet.pass(500);
                }
            },
            maxProbesPerS: maxIdleProbesPerS,
        },
        {
            name: "all upstreams stall for half a second",
            options: { requestPauseMs: 20 },
            play: async fleet => {
                fleet.servers.forEach(({ id }) => fleet.silent.add(id));
                await fleet.pass(500);
                fleet.silent.clear();
                await fleet.pass(3_000);
            },
            mayDoubt: true,
        },
        {
            name: "a third of the upstreams crashes at once",
            options: { requestPauseMs: 5 },
            play: async fleet => {
                fleet.servers.filter(({ id }) => Number(id.slice(1)) % 3 === 0).forEach(({ id }) => fleet.crashed.add(id));
                await fleet.pass(10_000);
            },
            mayDoubt: true,
            maxProbesPerS: 6,
        },
        {
            name: "a third of the upstreams crashes while nothing is sent",
            play: async fleet => {
                fleet.servers.filter(({ id }) => Number(id.slice(1)) % 3 === 0).forEach(({ id }) => fleet.crashed.add(id));
                await fleet.pass(30_000);
            },
            mayDoubt: true,
            maxProbesPerS: 6,
        },
        {
            name: "the process does not run for four seconds",
            options: { requestPauseMs: 5 },
            play: async fleet => {
                await fleet.pause(4_000);
                await fleet.pass(3_000);
            },
        },
        {
            name: "the process is late again and again",
            options: { requestPauseMs: 5 },
            play: async fleet => {
                for (let turn = 0; turn < 20; turn++) {
                    await fleet.pause(700);
                    await fleet.pass(20);
                }
            },
        },
        {
            name: "upstreams are slow to answer probes, and connections to two of them failed",
            options: { requestPauseMs: 20, latencyMs: 900, keptShare: 0.9 },
            play: async fleet => {
                fleet.probeAnswerMs = 900;
                fleet.contact.onFailure("x@1", ContactFailure.Ended);
                fleet.contact.onFailure("y@1", ContactFailure.Ended);
                await fleet.pass(3_000);
            },
            mayDoubt: true,
        },
        { name: "no upstream is known", options: { upstreams: 0, requestPauseMs: 50 }, play: fleet => fleet.pass(10_000), maxProbesPerS: 0 },
        {
            name: "all upstreams ask for quiet",
            play: async fleet => {
                fleet.mayProbe = () => false;
                await fleet.pass(10_000);
            },
            maxProbesPerS: 0,
        },
    ];
    for (const { name, options, play, mayDoubt = false, maxProbesPerS } of soundCases) {
        for (const seed of [1, 2, 3]) {
            it(`is not lost: ${name} (seed ${seed})`, async () => {
                const fleet = ContactSimulation.create(clock, { ...options, seed });
                await fleet.pass(warmUpMs);
                const startedAt = performance.now();
                const before = fleet.contact.probeCount;
                await play(fleet);
                assert.equal(fleet.contact.lossCount, 0);
                assert.equal(fleet.contact.state, ContactState.Held);
                if (!mayDoubt) {
                    assert.deepEqual(fleet.changes, []);
                }
                const probes = fleet.contact.probeCount - before;
                const seconds = (performance.now() - startedAt) / 1_000;
                assert.ok(probes <= (maxProbesPerS ?? Number.POSITIVE_INFINITY) * seconds, `${probes} probes in ${seconds} s`);
            });
        }
    }
});
