import type { RouteTarget, ServiceRoute, ServingConfig } from "../types/servingConfig";
import { getOrCreate } from "../utils/maps";
import type { Random } from "../utils/random";

/** Finds the route of a request: the host's route with the longest prefix of the path. */
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

    /** The route of a host and a path without its query. */
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

/** One target at random, by weight. */
export const chooseTarget = (targets: readonly RouteTarget[], random: Random): string | undefined => {
    const total = targets.reduce((sum, { weight }) => sum + weight, 0);
    let left = random() * total;
    for (const { service, weight } of targets) {
        left -= weight;
        if (left < 0) {
            return service;
        }
    }
    return targets.at(-1)?.service;
};
