import { serves } from "../core/copies";
import type { RunnerBound } from "../core/runnerBound";
import { boundOf, withoutRunners } from "../core/runnerBound";
import type { RunnerTracker } from "../core/runnerTracker";
import type { PlacementRequest } from "../types/placement";
import { UpstreamState } from "../types/upstreamServer";

/** The runners of a service as a placement request may use them. */
export interface UsableRunners {
    /** Those of the software versions that the request may use. */
    readonly admitted: readonly RunnerTracker[];
    /** Those that count for it. */
    readonly usable: readonly RunnerTracker[];
    readonly bound: RunnerBound;
    /** Whether the request may use some of the runners only. */
    readonly isBound: boolean;
    /** Whether one that serves the model may be gone. */
    readonly isSuspected: boolean;
}

/** Finds the runners that a request may use among those of its service. */
export const findUsableRunners = (req: PlacementRequest, all: readonly RunnerTracker[]): UsableRunners => {
    // A copy at a runner that leaves is none for a new request.
    const trackers = all.filter(({ server }) => server.state === UpstreamState.Ready);
    const versionBound = boundOf(req);
    const admitted = trackers.filter(versionBound.admits);
    const isBound = admitted.length < trackers.length;
    const isSuspected = admitted.some(tracker => tracker.isSuspected && serves(tracker, req.model));
    // A stream that is kept to some of the runners has no other choice if the one with its model did not take it.
    const bound = isBound && !isSuspected ? withoutRunners(versionBound, req.avoid) : versionBound;
    return { admitted, usable: admitted.filter(bound.admits), bound, isBound, isSuspected };
};
