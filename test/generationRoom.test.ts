import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { maxMemoryShare } from "../src/core/generationLoad";
import { notBrittleRejectionsPerS } from "../src/core/runnerRoom";
import { UpstreamRooms } from "../src/core/upstreamRooms";
import type { GenerationTerms, PlaceRequest } from "../src/types/sendPermit";
import { PlaceLack } from "../src/types/sendPermit";
import { setupLogs } from "../src/utils/events";

const runner = "r1";
const kvTokens = 10_000;
const limitTokens = maxMemoryShare * kvTokens;
const settledMs = 1_100;
const baseTerms: GenerationTerms = { tokens: 1_000, kvTokens, prefillMs: 5, gapMs: 600, isUrgent: false, isSent: false, unplacedTokens: 0 };

describe("the places of a runner that fails beyond its memory", () => {
    let clock: ReturnType<typeof install>;
    let rooms: UpstreamRooms;
    let nextId: number;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => {
        clock = install({ toFake: ["performance", "setTimeout", "clearTimeout"] });
        clock.tick(100_000);
        rooms = UpstreamRooms.create();
        nextId = 0;
    });
    afterEach(() => clock.uninstall());

    const placeOf = (generation: Partial<GenerationTerms>, changes: Partial<PlaceRequest> = {}): PlaceRequest => ({
        id: `p${nextId++}`,
        node: "n1",
        holdMs: 5_000,
        slots: 64,
        share: 1,
        maxRejectionsPerS: notBrittleRejectionsPerS,
        load: 0,
        unplaced: 0,
        maxQueueMs: 0,
        dueInMs: 1_000,
        priority: 1,
        generation: { ...baseTerms, ...generation },
        ...changes,
    });
    const take = (generation: Partial<GenerationTerms> = {}, changes: Partial<PlaceRequest> = {}) => rooms.take(runner, placeOf(generation, changes));
    const giveBack = (...ids: readonly string[]): void =>
        rooms.report({ node: "n1", returned: ids.map(id => ({ runner, id, isRejected: false })), unplaced: [] });
    /** Takes as many places as there are now. */
    const takeAll = async (generation: Partial<GenerationTerms>, changes: Partial<PlaceRequest> = {}): Promise<number> => {
        for (let count = 0;; count++) {
            if (!(await take(generation, changes)).isGranted) {
                return count;
            }
        }
    };

    interface Case {
        readonly name: string;
        /** What is known before the request. */
        readonly prepare: () => unknown;
        readonly generation?: Partial<GenerationTerms>;
        readonly changes?: Partial<PlaceRequest>;
        readonly lack: PlaceLack | undefined;
    }
    const cases: readonly Case[] = [
        { name: "are given while there is memory", prepare: () => takeAll({ tokens: limitTokens / 2 }, { slots: 1 }), lack: undefined },
        { name: "are not given beyond the memory", prepare: () => take({ tokens: limitTokens - 999 }), lack: PlaceLack.Memory },
        { name: "are given up to the memory", prepare: () => take({ tokens: limitTokens - 1_000 }), lack: undefined },
        { name: "are not given beyond the slots", prepare: () => takeAll({ tokens: 1 }, { slots: 4 }), changes: { slots: 4 }, lack: PlaceLack.Slots },
        { name: "are given to one that needs more than all of the memory, alone", prepare: () => 0, generation: { tokens: 2 * kvTokens }, lack: undefined },
        {
            name: "are not given to one that needs more than all of the memory beside others",
            prepare: () => take({ tokens: 1 }),
            generation: { tokens: 2 * kvTokens },
            lack: PlaceLack.Memory,
        },
        {
            name: "are spaced for long prompts",
            prepare: () => take({ prefillMs: 239 }),
            generation: { prefillMs: 239 },
            lack: PlaceLack.Prefill,
        },
        {
            name: "are spaced as the smallest gap of the streams there allows",
            prepare: async () => {
                await take({ gapMs: 200 });
                await clock.tickAsync(1_000);
                await take({ prefillMs: 60 });
            },
            generation: { prefillMs: 60 },
            lack: PlaceLack.Prefill,
        },
        {
            name: "are given to short prompts of urgent routes while long ones are read",
            prepare: () => take({ prefillMs: 290 }),
            generation: { prefillMs: 21, isUrgent: true },
            lack: undefined,
        },
        {
            name: "are not given to short prompts of other routes while long ones are read",
            prepare: () => take({ prefillMs: 290 }),
            generation: { prefillMs: 21 },
            lack: PlaceLack.Prefill,
        },
        {
            name: "are not given to short prompts of urgent routes beyond the memory",
            prepare: () => take({ tokens: limitTokens }),
            generation: { isUrgent: true },
            lack: PlaceLack.Memory,
        },
        {
            name: "count what was sent without waiting",
            prepare: () => take({ tokens: limitTokens, isUrgent: true, isSent: true }),
            lack: PlaceLack.Memory,
        },
        {
            name: "are counted by the tokens that nodes report without a place",
            prepare: () => rooms.report({ node: "n2", returned: [], unplaced: [{ runner, count: 3, tokens: limitTokens - 500 }] }),
            lack: PlaceLack.Memory,
        },
        {
            name: "are counted by the asking node's tokens without a place",
            prepare: () => take({ tokens: 1, unplacedTokens: limitTokens }, { unplaced: 2, node: "n2" }),
            lack: PlaceLack.Memory,
        },
        {
            name: "expire with a node that ended, at the end of the requests' time",
            prepare: async () => {
                await take({ tokens: limitTokens });
                await clock.tickAsync(5_001);
            },
            lack: undefined,
        },
        {
            name: "do not count the report of a node that says nothing any more",
            prepare: async () => {
                rooms.report({ node: "n2", returned: [], unplaced: [{ runner, count: 3, tokens: limitTokens }] });
                await clock.tickAsync(1_600);
            },
            lack: undefined,
        },
        {
            name: "are fewer at first by the load that a new home node has heard of but no report",
            prepare: () => 0,
            generation: { tokens: limitTokens / 4 },
            changes: { load: 5 },
            lack: PlaceLack.Memory,
        },
        {
            name: "are half of the memory where the deputy gives them",
            prepare: () => take({ tokens: limitTokens / 2 }, { share: 0.5 }),
            changes: { share: 0.5 },
            lack: PlaceLack.Memory,
        },
        {
            name: "come one after the other where a single node's share is less than a request",
            prepare: () => take({ tokens: 1_000 }, { share: 0.01, slots: 1_000 }),
            changes: { share: 0.01, slots: 1_000 },
            lack: PlaceLack.Memory,
        },
    ];
    for (const { name, prepare, generation, changes, lack } of cases) {
        it(name, async () => {
            await prepare();
            const permit = await take(generation, changes);
            assert.deepEqual({ isGranted: permit.isGranted, lack: permit.lack }, { isGranted: lack === undefined, lack });
        });
    }

    it("come at a rate at a single node's share that keeps all nodes together within the memory", async () => {
        const nodeCount = 50;
        let granted = 0;
        for (let step = 0; step < 6_000; step++) {
            const place = placeOf({ tokens: 2_000 }, { share: 1 / nodeCount, holdMs: 1_000 });
            if ((await rooms.take(runner, place)).isGranted) {
                granted++;
                setTimeout(() => giveBack(place.id), 500);
            }
            await clock.tickAsync(100);
        }
        const meanTokens = granted * 2_000 * 500 / 600_000 * nodeCount;
        assert.ok(granted > 1 && meanTokens <= limitTokens, `${granted} of 6,000, ${Math.round(meanTokens)} tokens of all nodes`);
    });

    it("are not given after they were returned, as when messages overtake each other", async () => {
        const place = placeOf({ tokens: limitTokens });
        giveBack(place.id);
        assert.equal((await rooms.take(runner, place)).isGranted, false);
        const sent = placeOf({ tokens: limitTokens, isUrgent: true, isSent: true });
        giveBack(sent.id);
        await rooms.take(runner, sent);
        assert.equal((await take()).isGranted, true);
    });

    it("are not given to a request that left the queue", async () => {
        const first = placeOf({ tokens: limitTokens });
        await rooms.take(runner, first);
        const left = placeOf({ tokens: limitTokens }, { maxQueueMs: 400 });
        const permit = rooms.take(runner, left);
        giveBack(left.id);
        assert.equal((await permit).isGranted, false);
        giveBack(first.id);
        assert.equal((await take()).isGranted, true);
    });

    it("are refused with consecutive times for the return", async () => {
        await take({ tokens: limitTokens });
        await clock.tickAsync(settledMs);
        const times: number[] = [];
        for (let index = 0; index < 6; index++) {
            times.push((await take({ tokens: limitTokens })).retryAfterMs!);
        }
        times.slice(1, 3).forEach((ms, index) => assert.ok(ms > times[index]!, times.join(" ")));
        assert.equal(new Set(times.map(Math.round)).size, times.length, times.join(" "));
        assert.ok(Math.min(...times) > 0 && Math.max(...times) <= 2_000, times.join(" "));
    });
});
