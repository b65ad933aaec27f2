import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PriorityLevels } from "../src/core/priorityLevels";
import { combinedPriorityOf } from "../src/core/requestPriority";
import type { CustomerSpec } from "../src/types/customer";
import type { ServiceRoute } from "../src/types/servingConfig";
import { RouteKind } from "../src/types/servingConfig";

const routeOf = (priority: number, isPublic = false): ServiceRoute => ({
    name: "r",
    host: "h",
    prefix: "/",
    kind: RouteKind.Streaming,
    timeoutMs: 1,
    latencyObjectiveMs: 1,
    priority,
    targets: [],
    maxAttempts: 1,
    isResumable: false,
    isPublic,
});
const customerOf = (priority: number | undefined): CustomerSpec => ({ name: `p${priority}`, apiKeys: [], priority });

describe("priority of a request", () => {
    interface Case {
        readonly name: string;
        readonly customers: readonly (number | undefined)[];
        readonly routes: readonly number[];
        /** Levels of all pairs, customers first. */
        readonly levels: readonly number[];
    }
    const cases: readonly Case[] = [
        { name: "keeps the routes of one customer apart at runners", customers: [0], routes: [0, 1, 2], levels: [0, 1, 2] },
        { name: "puts the customer's before the route's", customers: [0, 1], routes: [0, 3], levels: [0, 1, 2, 3] },
        { name: "is 5 for a customer without one", customers: [4, undefined, 6], routes: [0], levels: [0, 1, 2] },
        {
            name: "keeps the order where there are more pairs than levels",
            customers: [0, 1, 2, 3],
            routes: [0, 1, 2],
            levels: [0, 0, 1, 2, 3, 4, 5, 5, 6, 7, 8, 9],
        },
    ];
    for (const { name, customers, routes, levels } of cases) {
        it(name, () => {
            const declared = customers.map(customerOf);
            const served = routes.map(priority => routeOf(priority));
            const table = PriorityLevels.create({ customers: declared, routes: served });
            const pairs = declared.flatMap(customer => served.map(route => table.levelOf(combinedPriorityOf(customer, route))));
            assert.deepEqual(pairs, levels);
        });
    }

    it("of the least urgent customer is after any route of a more urgent one in queues", () => {
        assert.ok(combinedPriorityOf(customerOf(0), routeOf(50_000)) < combinedPriorityOf(customerOf(1), routeOf(0)));
    });

    it("stays within the runner's levels if it is not among those of the configuration", () => {
        const table = PriorityLevels.create({ customers: [customerOf(0)], routes: [routeOf(0)] });
        assert.deepEqual([table.levelOf(-1), table.levelOf(1_000_000)], [0, 1]);
    });
});
