import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { RoomTerms } from "../src/core/runnerRoom";
import { RunnerRoom } from "../src/core/runnerRoom";
import { UpstreamRooms } from "../src/core/upstreamRooms";
import type { PlaceRequest } from "../src/types/sendPermit";

const holdMs = 5_000;

describe("the room of a brittle upstream", () => {
    let clock: ReturnType<typeof install>;
    let room: RunnerRoom;
    let nextId: number;
    beforeEach(() => {
        clock = install({ toFake: ["performance", "setTimeout", "clearTimeout"] });
        clock.tick(100_000);
        room = RunnerRoom.create();
        nextId = 0;
    });
    afterEach(() => clock.uninstall());

    const usual: RoomTerms = { slots: 4, share: 1, maxRejectionsPerS: 8, load: 0 };
    /** Takes as many places as there are now. */
    const takeAll = (terms = usual): number => {
        let count = 0;
        while (room.take(`p${nextId}`, holdMs, terms)) {
            nextId++;
            count++;
        }
        return count;
    };
    const reject = (count: number): void => {
        for (let index = 0; index < count; index++) {
            room.giveBack(`p${--nextId}`);
            room.onRejected();
        }
    };

    interface Case {
        readonly name: string;
        readonly terms?: RoomTerms;
        readonly act?: () => void;
        /** Places that can then be taken. */
        readonly places: number;
    }
    const cases: readonly Case[] = [
        { name: "is its slots", places: 4 },
        { name: "is none while all are in use", act: () => takeAll(), places: 0 },
        {
            name: "is what was given back",
            act: () => {
                takeAll();
                room.giveBack("p0");
                room.giveBack("p2");
            },
            places: 2,
        },
        {
            name: "is free again if a place expires",
            act: () => {
                takeAll();
                clock.tick(holdMs);
            },
            places: 4,
        },
        { name: "is less by requests without a place", act: () => room.setUnplaced("n1", 3), places: 1 },
        { name: "is none while more requests are in progress than it has slots", act: () => room.setUnplaced("n1", 9), places: 0 },
        {
            name: "counts requests without a place until the node says that they have ended",
            act: () => {
                room.setUnplaced("n1", 3);
                room.setUnplaced("n1", 0);
            },
            places: 4,
        },
        {
            name: "does not count those of a node that says nothing any more",
            act: () => {
                room.setUnplaced("n1", 3);
                clock.tick(1_500);
            },
            places: 4,
        },
        { name: "is less by the load that is known of when it is first asked for", terms: { ...usual, load: 3 }, places: 1 },
        { name: "is not less by that load later", terms: { ...usual, load: 3 }, act: () => clock.tick(1_000), places: 4 },
        { name: "is no more at first than the rejections that it bears", terms: { ...usual, slots: 16, maxRejectionsPerS: 5 }, places: 5 },
        { name: "is one at first at an upstream that bears none", terms: { ...usual, maxRejectionsPerS: 0 }, places: 1 },
        {
            name: "is a part of the slots if other nodes may hand them out as well",
            terms: { ...usual, slots: 8, share: 0.25 },
            act: () => clock.tick(1_000),
            places: 2,
        },
        { name: "is one at a time if that part is less than one", terms: { ...usual, share: 0.01 }, act: () => clock.tick(1_000), places: 1 },
        {
            name: "is one only after a while if that part is less than one",
            terms: { ...usual, share: 0.05 },
            act: () => {
                takeAll({ ...usual, share: 0.05 });
                room.giveBack("p0");
                clock.tick(500);
            },
            places: 0,
        },
        {
            name: "is none for a while after rejections",
            act: () => {
                takeAll();
                reject(4);
                clock.tick(900);
            },
            places: 0,
        },
        {
            name: "is tried with one after that",
            act: () => {
                takeAll();
                reject(4);
                clock.tick(1_001);
            },
            places: 1,
        },
        {
            name: "is what was in use when others were rejected",
            act: () => {
                takeAll();
                reject(2);
                clock.tick(2_500);
                takeAll();
                room.giveBack("p0");
                clock.tick(1);
            },
            places: 1,
        },
        {
            name: "rises again in time",
            act: () => {
                takeAll();
                reject(3);
                for (let step = 0; step < 10; step++) {
                    clock.tick(600);
                    takeAll();
                }
                clock.tick(holdMs);
            },
            places: 4,
        },
    ];
    for (const { name, terms = usual, act, places } of cases) {
        it(name, () => {
            act?.();
            assert.equal(takeAll(terms), places);
        });
    }

    for (const maxRejectionsPerS of [0, 1, 2, 8, 40]) {
        it(`is found out with few rejections in any second by an upstream that bears ${maxRejectionsPerS} and takes none`, () => {
            const terms = { ...usual, slots: 16, maxRejectionsPerS };
            const rejectedAt: number[] = [];
            for (let ms = 0; ms < 20_000; ms += 10) {
                const count = takeAll(terms);
                reject(count);
                rejectedAt.push(...Array<number>(count).fill(performance.now()));
                clock.tick(10);
            }
            const most = Math.max(...rejectedAt.map(from => rejectedAt.filter(at => at >= from && at < from + 1_000).length));
            // An upstream that bears none fails by the request that finds it out.
            assert.ok(most <= Math.max(1, maxRejectionsPerS), `${most} in a second`);
            assert.ok(rejectedAt.length >= 2, `${rejectedAt.length} in 20 s`);
        });
    }

    const placeOf = (id: string, changes: Partial<PlaceRequest>): PlaceRequest => ({
        ...usual,
        id,
        node: "n1",
        holdMs,
        slots: 1,
        unplaced: 0,
        maxQueueMs: 300,
        dueInMs: 1_000,
        priority: 0,
        ...changes,
    });

    interface QueueCase {
        readonly name: string;
        readonly waiting: readonly Partial<PlaceRequest>[];
        /** Indices of those that get the place, in the order in which they do as each gives it back. */
        readonly served: readonly number[];
    }
    const queueCases: readonly QueueCase[] = [
        { name: "by the time until their first token is due", waiting: [{ dueInMs: 900 }, { dueInMs: 400 }, { dueInMs: 700 }], served: [1, 2, 0] },
        { name: "by priority", waiting: [{ priority: 2 }, { priority: 0 }, { priority: 1 }], served: [1, 2, 0] },
        { name: "those that are late already last", waiting: [{ dueInMs: 0 }, { priority: 3 }], served: [1, 0] },
        { name: "and not those that do not wait", waiting: [{ maxQueueMs: 0 }, {}], served: [1] },
        { name: "and not those whose time is over", waiting: [{ maxQueueMs: 20 }, {}], served: [1] },
    ];
    for (const { name, waiting, served } of queueCases) {
        it(`is given to those that wait ${name}`, async () => {
            const rooms = UpstreamRooms.create();
            await rooms.take("r1", placeOf("first", {}));
            const order: number[] = [];
            const giveBack = (id: string): void => rooms.report({ node: "n1", returned: [{ runner: "r1", id, isRejected: false }], unplaced: [] });
            waiting.forEach((changes, index) =>
                void rooms.take("r1", placeOf(`w${index}`, changes)).then(({ isGranted }) =>
                    isGranted && order.push(index) && setTimeout(() => giveBack(`w${index}`), 10)
                )
            );
            await clock.tickAsync(50);
            giveBack("first");
            await clock.tickAsync(200);
            assert.deepEqual(order, served);
        });
    }

    it("is denied with an estimate of the wait, which grows with those that wait", async () => {
        const rooms = UpstreamRooms.create();
        await rooms.take("r1", placeOf("first", {}));
        const permits = [placeOf("a", { maxQueueMs: 0 }), placeOf("b", {}), placeOf("c", { maxQueueMs: 0, dueInMs: 2_000 })].map(place =>
            rooms.take("r1", place)
        );
        await clock.tickAsync(500);
        const [a, b, c] = await Promise.all(permits);
        assert.deepEqual([a, b, c].map(permit => permit!.isFull), [true, true, true]);
        assert.ok(a!.waitMs > 0 && c!.waitMs > a!.waitMs, `${a!.waitMs}, ${c!.waitMs} ms`);
    });
});
