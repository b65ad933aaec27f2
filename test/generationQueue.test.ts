import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { maxMemoryShare } from "../src/core/generationLoad";
import { combinedPriorityOf } from "../src/core/requestPriority";
import { notBrittleRejectionsPerS } from "../src/core/runnerRoom";
import { UpstreamRooms } from "../src/core/upstreamRooms";
import type { GenerationTerms, PlaceRequest } from "../src/types/sendPermit";
import { setupLogs } from "../src/utils/events";

const runner = "r1";
const kvTokens = 10_000;
const limitTokens = maxMemoryShare * kvTokens;
const baseTerms: GenerationTerms = { tokens: 1_000, kvTokens, prefillMs: 5, gapMs: 600, isUrgent: false, isSent: false, unplacedTokens: 0 };

describe("the queue for places of a runner that fails beyond its memory", () => {
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
    const giveBack = (...ids: readonly string[]): void =>
        rooms.report({ node: "n1", returned: ids.map(id => ({ runner, id, isRejected: false })), unplaced: [] });

    interface OrderCase {
        readonly name: string;
        readonly waiting: readonly (readonly [Partial<GenerationTerms>, Partial<PlaceRequest>])[];
        /** Indices in the order in which they get the place. */
        readonly served: readonly number[];
    }
    const large = { tokens: limitTokens };
    const orders: readonly OrderCase[] = [
        {
            name: "the customer's priority before the route's",
            waiting: [[large, { priority: combinedPriorityOf({ name: "a", priority: 6 }, { priority: 0 }) }], [large, {
                priority: combinedPriorityOf({ name: "b", priority: 1 }, { priority: 3 }),
            }]],
            served: [1, 0],
        },
        { name: "the route's priority", waiting: [[large, { priority: 2 }], [large, { priority: 0 }]], served: [1, 0] },
        {
            name: "the customer that had less",
            waiting: [[{ ...large, customer: "busy" }, { dueInMs: 500 }], [{ ...large, customer: "other" }, { dueInMs: 900 }]],
            served: [1, 0],
        },
        {
            name: "what is due, for one customer",
            waiting: [[{ ...large, customer: "busy" }, { dueInMs: 900 }], [{ ...large, customer: "busy" }, { dueInMs: 500 }]],
            served: [1, 0],
        },
    ];
    for (const { name, waiting, served } of orders) {
        it(`go in the queue first by ${name}`, async () => {
            const first = placeOf({ ...large, customer: "busy" });
            await rooms.take(runner, first);
            const order: number[] = [];
            waiting.forEach(([generation, changes], index) => {
                const place = placeOf(generation, { maxQueueMs: 400, ...changes });
                void rooms.take(runner, place).then(({ isGranted }) => isGranted && order.push(index) && setTimeout(() => giveBack(place.id), 10));
            });
            giveBack(first.id);
            await clock.tickAsync(300);
            assert.deepEqual(order, served);
        });
    }

    it("go to a large request in the end, although small ones keep coming", async () => {
        const small = async (): Promise<void> => {
            for (;;) {
                const place = placeOf({ tokens: 1_000, customer: "small" }, { maxQueueMs: 400 });
                const { isGranted } = await rooms.take(runner, place);
                await new Promise(resolve => setTimeout(resolve, isGranted ? 100 : 25));
                if (isGranted) {
                    giveBack(place.id);
                }
            }
        };
        for (let index = 0; index < 20; index++) {
            void small();
            await clock.tickAsync(7);
        }
        const permit = rooms.take(runner, placeOf({ tokens: 8_000, customer: "large" }, { maxQueueMs: 400 }));
        await clock.tickAsync(400);
        assert.equal((await permit).isGranted, true);
    });
});
