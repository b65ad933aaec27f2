import { holdsOrLoads } from "../core/copies";
import type { RunnerTracker } from "../core/runnerTracker";

/** A planned load is removed if it has not started within this time after the first unload that frees memory for it. */
const plannedLoadTtlMs = 8_000;

/** A model that is to be loaded on a runner once other models are unloaded from it. */
interface PlannedLoad {
    readonly model: string;
    readonly expiresAt: number;
}

/** Loads that wait for memory to be freed, at most one for each runner. */
export class PlannedLoads {
    private readonly byRunner = new Map<string, PlannedLoad>();

    private constructor() {}

    static create(): PlannedLoads {
        return new PlannedLoads();
    }

    /** Adds a load, unless the runner already has one. */
    add(runner: string, model: string): void {
        if (!this.byRunner.has(runner)) {
            this.byRunner.set(runner, { model, expiresAt: performance.now() + plannedLoadTtlMs });
        }
    }

    remove(runner: string): void {
        this.byRunner.delete(runner);
    }

    clear(): void {
        this.byRunner.clear();
    }

    /** Models by runner. */
    get models(): ReadonlyMap<string, string> {
        return new Map([...this.byRunner].map(([runner, { model }]) => [runner, model]));
    }

    /** Removes loads that were ordered, took too long, or whose runner is gone. */
    removeEnded(trackerOf: (runner: string) => RunnerTracker | undefined): void {
        for (const [runner, { model, expiresAt }] of this.byRunner) {
            const tracker = trackerOf(runner);
            if (!tracker || performance.now() > expiresAt || holdsOrLoads(tracker, model)) {
                this.byRunner.delete(runner);
            }
        }
    }
}
