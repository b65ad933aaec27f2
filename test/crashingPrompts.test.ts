import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setupLogs } from "../src/utils/events";
import { createRandom, pick } from "../src/utils/random";
import { sleep } from "../src/utils/time";
import { ServingFleet } from "./fakes/servingFleet";

/** Time in which all nodes in contact must know of the fifth crash, and the requests that may still reach runners after it. */
const contactMs = 3_000;
const toleratedCrashes = 5;
const maxLateRequests = 3;
/** Minimum share of the sound requests that are served once the crashing part is known. */
const minServedShare = 0.9;
const playMs = 12_000;
const requestIntervalMs = 60;
const soundParts = ["c0", "c1", "c2", "c3"];

interface Case {
    readonly name: string;
    readonly crashParts: readonly string[];
    /** Shared parts of a crashing request. */
    readonly toShared: (crashPart: string, soundPart: string) => readonly string[];
}

const cases: readonly Case[] = [
    { name: "a part after a common first part", crashParts: ["bad"], toShared: bad => ["a", bad] },
    { name: "a part that always comes with the same sound ones", crashParts: ["bad"], toShared: bad => ["a", "c0", bad] },
    { name: "a first part", crashParts: ["bad"], toShared: (bad, sound) => [bad, sound] },
    { name: "two parts at the same time", crashParts: ["bad1", "bad2"], toShared: (bad, sound) => ["a", sound, bad] },
];

describe("requests with a part that crashes runners", { concurrency: 1 }, () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    for (const { name, crashParts, toShared } of cases) {
        it(`stop reaching runners soon after the fifth crash, while sound ones are served: ${name}`, async () => {
            const random = createRandom(7);
            const fleet = await ServingFleet.create(7, 8, { crashParts: new Set(crashParts), restartMs: 1_000 });
            const sound: { readonly at: number; readonly isServed: boolean; }[] = [];
            const pending: Promise<unknown>[] = [];
            await sleep(1_500);
            const startedAt = performance.now();
            for (let tick = 0; performance.now() - startedAt < playMs; tick++) {
                const node = pick(fleet.nodes, random)!;
                const soundPart = pick(soundParts, random)!;
                if (tick % 3 === 0) {
                    pending.push(fleet.call(node, toShared(crashParts[tick / 3 % crashParts.length]!, soundPart)));
                }
                else {
                    const at = performance.now();
                    pending.push(
                        fleet.call(node, ["a", soundPart]).then(({ status, isComplete }) => sound.push({ at, isServed: status === 200 && isComplete })),
                    );
                }
                await sleep(requestIntervalMs);
            }
            await Promise.all(pending);
            fleet.close();
            const knownAt = Math.max(...crashParts.map(part => (fleet.crashTimes(part)[toleratedCrashes - 1] ?? fleet.crashTimes(part).at(-1)!) + contactMs));
            for (const part of crashParts) {
                const fifthAt = fleet.crashTimes(part)[toleratedCrashes - 1];
                const late = fifthAt === undefined ? 0 : fleet.receivedAfter(part, fifthAt + contactMs);
                assert.ok(late <= maxLateRequests, `${late} requests with ${part} reached runners too late, ${fleet.crashTimes(part).length} crashes`);
            }
            const later = sound.filter(({ at }) => at > knownAt + contactMs);
            const served = later.filter(({ isServed }) => isServed).length;
            assert.ok(later.length >= 20 && served >= minServedShare * later.length, `${served} of ${later.length} sound requests served`);
        });
    }
});
