import type { PlacementRequest } from "../types/placement";
import { softwareVersionOf } from "../types/upstreamServer";
import type { VersionConstraint } from "../types/versionConstraint";
import type { RunnerTracker } from "./runnerTracker";

/** The runners of a service that requests may use; requests with the same key may use the same ones. */
export interface RunnerBound {
    readonly key: string;
    readonly admits: (tracker: RunnerTracker) => boolean;
}

const boundByVersion = ({ only, excluded }: VersionConstraint): RunnerBound => ({
    key: only === undefined ? `not ${[...excluded].sort().join(" ")}` : `only ${only}`,
    admits: ({ server }) => {
        const version = softwareVersionOf(server);
        return only === undefined ? !excluded.includes(version) : version === only;
    },
});

/** The bound of requests for one software version. */
export const boundToVersion = (version: string): RunnerBound => boundByVersion({ only: version, excluded: [] });

/** The runners that a request may use. Nodes of earlier releases list the runners of other versions among those to avoid. */
export const boundOf = ({ versions, avoid }: PlacementRequest): RunnerBound => {
    if (versions) {
        return boundByVersion(versions);
    }
    const avoided = new Set(avoid);
    return { key: `without ${[...avoided].sort().join(" ")}`, admits: ({ server }) => !avoided.has(server.id) };
};

/** The runners of a bound without some of them. */
export const withoutRunners = (bound: RunnerBound, ids: readonly string[]): RunnerBound =>
    ids.length === 0
        ? bound
        : { key: `${bound.key} without ${[...ids].sort().join(" ")}`, admits: tracker => !ids.includes(tracker.server.id) && bound.admits(tracker) };
