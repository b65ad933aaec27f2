import { holdsOrLoads, isUsable } from "../core/copies";
import type { CopyNeed } from "../core/copyNeed";
import type { RunnerTracker } from "../core/runnerTracker";

/**
 * Runners whose planned load was decided before requests came to wait for another model there, of which no copy is present or loading. Their memory is
 * free now, so the plan is made anew. A load that requests wait for, too, is kept.
 */
export const findOvertakenLoads = (
    plannedLoads: ReadonlyMap<string, string>,
    trackers: readonly RunnerTracker[],
    needs: readonly CopyNeed[],
): readonly string[] => {
    const isComing = ({ model, bound }: CopyNeed): boolean =>
        trackers.some(tracker =>
            bound.admits(tracker) && isUsable(tracker) && (holdsOrLoads(tracker, model) || (tracker.canOrder && plannedLoads.get(tracker.server.id) === model))
        );
    const awaited = needs.filter(({ delayCostPerS }) => delayCostPerS !== undefined);
    const urgent = awaited.filter(need => !isComing(need));
    const isOvertaken = (tracker: RunnerTracker, planned: string): boolean =>
        urgent.some(({ bound }) => bound.admits(tracker)) && !awaited.some(({ model, bound }) => model === planned && bound.admits(tracker));
    return trackers
        .filter(tracker => {
            const planned = plannedLoads.get(tracker.server.id);
            return planned !== undefined && tracker.canOrder && isOvertaken(tracker, planned);
        })
        .map(({ server }) => server.id);
};
