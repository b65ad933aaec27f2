import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setupLogs } from "../src/utils/events";
import { createRandom, pick } from "../src/utils/random";
import { sleep } from "../src/utils/time";
import type { ServingNode } from "./fakes/servingFleet";
import { ServingFleet } from "./fakes/servingFleet";

/** Time in which all nodes in contact must know of the third crash, and the requests that may still reach runners after it. */
const contactMs = 3_000;
const toleratedCrashes = 3;
const maxLateRequests = 3;
/** Minimum share of the sound requests that are served once the crashing request is known. */
const minServedShare = 0.9;
const playMs = 11_000;
const requestIntervalMs = 60;
/** A crashing request comes once in so many requests. */
const crashingOneIn = 6;

interface Case {
    readonly name: string;
    readonly service: string;
    readonly crashBodies: readonly string[];
    /** Sends a request with a body, sound or not. */
    readonly send: (fleet: ServingFleet, node: ServingNode, body: string) => ReturnType<ServingFleet["callPlain"]>;
}

const cases: readonly Case[] = [
    { name: "one", service: "counter", crashBodies: ["bad"], send: (fleet, node, body) => fleet.callPlain(node, "/counter/x", body) },
    {
        name: "three at the same time",
        service: "counter",
        crashBodies: ["bad1", "bad2", "bad3"],
        send: (fleet, node, body) => fleet.callPlain(node, "/counter/x", body),
    },
    { name: "one that must not be repeated", service: "counter", crashBodies: ["bad"], send: (fleet, node, body) => fleet.callPlain(node, "/booking/x", body) },
    {
        name: "one with other queries each time",
        service: "counter",
        crashBodies: ["bad"],
        send: (fleet, node, body) => fleet.callPlain(node, `/counter/x?page=${Math.round(performance.now())}`, body),
    },
    { name: "a prompt without shared parts", service: "desk", crashBodies: ["bad"], send: (fleet, node, body) => fleet.call(node, [], body) },
    { name: "a prompt with common parts", service: "desk", crashBodies: ["bad"], send: (fleet, node, body) => fleet.call(node, ["a", "c0"], body) },
];

describe("requests that crash runners", { concurrency: 1 }, () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    for (const { name, service, crashBodies, send } of cases) {
        it(`stop reaching runners soon after the third crash, while sound ones are served: ${name}`, async () => {
            const random = createRandom(9);
            const fleet = await ServingFleet.create(7, 8, { crashParts: new Set(), crashBodies: new Set(crashBodies), service, restartMs: 1_000 });
            const sound: { readonly at: number; readonly isServed: boolean; }[] = [];
            const pending: Promise<unknown>[] = [];
            await sleep(1_500);
            const startedAt = performance.now();
            for (let tick = 0; performance.now() - startedAt < playMs; tick++) {
                const node = pick(fleet.nodes, random)!;
                if (tick % crashingOneIn === 0) {
                    pending.push(send(fleet, node, crashBodies[tick / crashingOneIn % crashBodies.length]!));
                }
                else {
                    const at = performance.now();
                    const body = `sound${tick % 40}`;
                    pending.push(send(fleet, node, body).then(({ status, isComplete }) => sound.push({ at, isServed: status === 200 && isComplete })));
                }
                await sleep(requestIntervalMs);
            }
            await Promise.all(pending);
            fleet.close();
            for (const body of crashBodies) {
                const thirdAt = fleet.crashTimes(body)[toleratedCrashes - 1];
                const late = thirdAt === undefined ? 0 : fleet.receivedAfter(body, thirdAt + contactMs);
                assert.ok(late <= maxLateRequests, `${late} requests with ${body} reached runners too late, ${fleet.crashTimes(body).length} crashes`);
            }
            const knownAt = Math.max(...crashBodies.map(body => (fleet.crashTimes(body)[toleratedCrashes - 1] ?? startedAt) + contactMs));
            const later = sound.filter(({ at }) => at > knownAt);
            const served = later.filter(({ isServed }) => isServed).length;
            assert.ok(later.length >= 20 && served >= minServedShare * later.length, `${served} of ${later.length} sound requests served`);
        });
    }

    it("do not keep sound repeats of a request from being served that was lost with runners for other reasons", async () => {
        const fleet = await ServingFleet.create(7, 8, { crashParts: new Set(), crashBodies: new Set(), service: "counter", restartMs: 300 });
        await sleep(1_500);
        const statuses: (number | undefined)[] = [];
        const random = createRandom(10);
        for (let round = 0; round < 12; round++) {
            const calls = [1, 2, 3].map(() => fleet.callPlain(pick(fleet.nodes, random)!, "/counter/x", "sound"));
            await sleep(10);
            fleet.runners.filter(runner => fleet.runners.indexOf(runner) % 2 === round % 2).forEach(runner => runner.crash("power"));
            statuses.push(...(await Promise.all(calls)).map(({ status }) => status));
            await sleep(500);
        }
        const last = await Promise.all(fleet.nodes.map(node => fleet.callPlain(node, "/counter/x", "sound")));
        fleet.close();
        assert.deepEqual(last.map(({ status }) => status), last.map(() => 200), statuses.join(" "));
    });
});
