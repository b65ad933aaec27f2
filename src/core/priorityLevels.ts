import type { ServingConfig } from "../types/servingConfig";
import { combinedPriorityOf } from "./requestPriority";

/** Priorities that runners distinguish, from 0, which is served first. */
const runnerLevels = 10;

/** The priorities of customers and routes, mapped to those that runners distinguish. The order is kept; priorities that follow each other share a level only if there are more than levels. */
export class PriorityLevels {
    private constructor(private readonly sorted: readonly number[]) {}

    /** Lists the priorities that requests may have under a configuration. */
    static create({ customers = [], routes }: Pick<ServingConfig, "customers" | "routes">): PriorityLevels {
        // Customers and routes share few priorities, however many there are.
        const byPriority = new Map(customers.map(customer => [customer.priority, customer]));
        const keyedRoutes = new Map(routes.filter(({ isPublic }) => isPublic !== true).map(route => [route.priority, route]));
        const priorities = [
            ...[...byPriority.values()].flatMap(customer => [...keyedRoutes.values()].map(route => combinedPriorityOf(customer, route))),
            ...routes.filter(({ isPublic }) => isPublic === true).map(route => combinedPriorityOf(undefined, route)),
        ];
        return new PriorityLevels([...new Set(priorities)].sort((a, b) => a - b));
    }

    /** The runner's level for the priority of a request. */
    levelOf(priority: number): number {
        const { sorted } = this;
        const index = sorted.filter(other => other < priority).length;
        const position = sorted.length > runnerLevels ? Math.floor(index * runnerLevels / sorted.length) : index;
        return Math.min(runnerLevels - 1, position);
    }
}
