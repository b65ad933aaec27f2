import { serves } from "./copies";
import type { RunnerTracker } from "./runnerTracker";

/**
 * Time for which a model without a copy counts as awaited after its last request. Long enough for an unload and the order to load: requests that are refused come back
 * after a second or more, and a planned load must not lapse once its victim is unloaded.
 */
const awaitedTtlMs = 6_000;
/**
 * Time without a copy after which a model takes its turn. Loads from the weight store take up to 6 s: a model that gets one in the usual order needs no turn, and where all models get one so, nothing
 * is evicted for turns.
 */
const minAbsenceMs = 8_000;
/** Time after the last request at which a model loses the time that it has been without a copy. */
const forgetMs = 30_000;

interface Absence {
    readonly service: string;
    readonly model: string;
    readonly since: number;
    readonly lastAt: number;
}

/** Models that were requested while no runner served them, and for how long. Requests that were refused count. */
export class CopyTurns {
    private readonly byKey = new Map<string, Absence>();

    private constructor(private readonly now: () => number) {}

    static create(now: () => number = () => performance.now()): CopyTurns {
        return new CopyTurns(now);
    }

    /** Records a request for a model that no runner serves. */
    add(service: string, model: string): void {
        const key = JSON.stringify([service, model]);
        const now = this.now();
        this.byKey.set(key, { service, model, since: this.byKey.get(key)?.since ?? now, lastAt: now });
    }

    /** Models of a service that are awaited, with the time since the first request without a copy. Those that a runner serves now are removed. */
    awaitedMsOf(service: string, trackers: readonly RunnerTracker[]): ReadonlyMap<string, number> {
        const now = this.now();
        const awaitedMs = new Map<string, number>();
        for (const [key, absence] of this.byKey) {
            if (absence.service !== service) {
                continue;
            }
            if (now - absence.lastAt >= forgetMs || trackers.some(tracker => serves(tracker, absence.model))) {
                this.byKey.delete(key);
            }
            else if (now - absence.lastAt < awaitedTtlMs && now - absence.since >= minAbsenceMs) {
                awaitedMs.set(absence.model, now - absence.since);
            }
        }
        return awaitedMs;
    }
}
