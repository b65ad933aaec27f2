import type { RouteTarget, ServiceRoute, ServingConfig } from "../types/servingConfig";
import { getOrCreate } from "../utils/maps";
import type { Random } from "../utils/random";

/** Finds the route of a request: the route of its host with the longest matching path prefix. */
export class RouteTable {
    private readonly byHost = new Map<string, Map<string, ServiceRoute>>();

    private constructor(cfg: ServingConfig) {
        for (const route of cfg.routes) {
            getOrCreate(this.byHost, route.host, () => new Map<string, ServiceRoute>()).set(route.prefix, route);
        }
    }

    /** Indexes the routes of a configuration. */
    static create(cfg: ServingConfig): RouteTable {
        return new RouteTable(cfg);
    }

    /** Finds the route for a host and a path without its query. */
    find(host: string, path: string): ServiceRoute | undefined {
        const routes = this.byHost.get(host.toLowerCase());
        for (let end = path.lastIndexOf("/"); routes && end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
            const route = routes.get(path.slice(0, end + 1));
            if (route) {
                return route;
            }
        }
        return undefined;
    }
}

/** Chooses a target at random, by weight. */
export const chooseTarget = (targets: readonly RouteTarget[], random: Random): string | undefined => {
    const totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0);
    let remaining = random() * totalWeight;
    for (const { service, weight } of targets) {
        remaining -= weight;
        if (remaining < 0) {
            return service;
        }
    }
    return targets.at(-1)?.service;
};
