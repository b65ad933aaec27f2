import { isUsable } from "../core/copies";
import type { RunnerTracker } from "../core/runnerTracker";
import { EventId } from "../types/eventId";
import { emit } from "../utils/events";

/** Time for which a new controller waits for the first reports of all runners. A report takes some ms, and a runner that is gone fails two of them before. */
const maxAdoptionMs = 1_000;

/**
 * Holds a new controller's orders back until the runners have reported what they hold. A model that only a runner without a report has would otherwise be loaded once more
 * elsewhere, from the weight store, in place of another one.
 */
export class Adoption {
    private beganAt = Number.NEGATIVE_INFINITY;
    private readonly adopted = new Set<string>();

    private constructor() {}

    static create(): Adoption {
        return new Adoption();
    }

    /** Begins anew, for a new epoch of the lease. */
    begin(): void {
        this.beganAt = performance.now();
        this.adopted.clear();
    }

    /** Whether the orders to a service's runners are held back, as of the last update. */
    isPending(service: string): boolean {
        return !this.adopted.has(service);
    }

    /** Ends the wait if all runners have reported, or it takes too long; returns whether it has ended. */
    update(service: string, trackers: readonly RunnerTracker[]): boolean {
        if (this.adopted.has(service)) {
            return true;
        }
        const unreported = trackers.filter(tracker => isUsable(tracker) && !tracker.hasReported).length;
        const waitedMs = performance.now() - this.beganAt;
        if (unreported > 0 && waitedMs < maxAdoptionMs) {
            return false;
        }
        this.adopted.add(service);
        const models = new Set(trackers.flatMap(({ models: held }) => [...held])).size;
        emit(EventId.RunnersAdopted, { service, waitedMs: Math.round(waitedMs), runners: trackers.length, unreported, models });
        return true;
    }
}
