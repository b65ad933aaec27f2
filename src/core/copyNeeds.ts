import { groupBy } from "../utils/maps";
import { serves } from "./copies";
import type { CopyNeed } from "./copyNeed";
import type { RunnerTracker } from "./runnerTracker";

/** Delay from which on requests that wait for a copy gain nothing by it. */
const maxDelayMs = 10_000;

/** Value of one more copy beside those that there are. */
const valueOfNext = ({ firstValue, secondValue }: CopyNeed, copies: number): number => copies === 0 ? firstValue : copies === 1 ? secondValue : 0;

/** Values the copies that models need at some of the runners. Without such needs, nothing changes in a plan. */
export class CopyNeeds {
    private readonly byModel: ReadonlyMap<string, readonly CopyNeed[]>;
    private readonly awaited: ReadonlySet<string>;

    private constructor(needs: readonly CopyNeed[]) {
        this.byModel = groupBy(needs, ({ model }) => model);
        this.awaited = new Set(needs.filter(({ delayCostPerS }) => delayCostPerS !== undefined).map(({ model }) => model));
    }

    static create(needs: readonly CopyNeed[]): CopyNeeds {
        return new CopyNeeds(needs);
    }

    /** Whether there is a need for a model; its copies may satisfy it. */
    has(model: string): boolean {
        return this.byModel.has(model);
    }

    /** Whether a need for a model has a cost of delay; its copies may satisfy it. */
    hasWaiting(model: string): boolean {
        return this.awaited.has(model);
    }

    /** Value of one more copy of a model at the best runner for it; `holders` have the model, or will. */
    maxGain(model: string, holders: Iterable<RunnerTracker>): number {
        return this.sumOf(model, need => valueOfNext(need, this.countAt(need, holders)));
    }

    /** Value of one more copy of a model at a runner. */
    gainAt(model: string, tracker: RunnerTracker, holders: Iterable<RunnerTracker>): number {
        return this.sumOf(model, need => need.bound.admits(tracker) ? valueOfNext(need, this.countAt(need, holders, tracker)) : 0);
    }

    /** Value that is lost with the copy of a model at a runner. Copies that are still being loaded do not replace it. */
    lossAt(model: string, tracker: RunnerTracker, holders: Iterable<RunnerTracker>): number {
        if (!this.byModel.has(model)) {
            return 0;
        }
        const serving = [...holders].filter(holder => serves(holder, model));
        return this.sumOf(model, need => need.bound.admits(tracker) ? valueOfNext(need, this.countAt(need, serving, tracker)) : 0);
    }

    /** What requests that wait for a first copy lose until one serves, if the next one is at this runner and serves after `readyMs`. */
    delayCost(model: string, tracker: RunnerTracker, readyMs: number, holders: Iterable<RunnerTracker>): number {
        if (!this.awaited.has(model)) {
            return 0;
        }
        const delayMs = (need: CopyNeed): number => need.bound.admits(tracker) ? Math.min(readyMs, maxDelayMs) : maxDelayMs;
        return this.sumOf(model, need => need.delayCostPerS && this.countAt(need, holders) === 0 ? need.delayCostPerS * delayMs(need) / 1_000 : 0);
    }

    /** Whether requests wait for a first copy of a model that may be at this runner. */
    isAwaited(model: string, tracker: RunnerTracker, holders: Iterable<RunnerTracker>): boolean {
        return this.byModel.get(model)?.some(need => need.delayCostPerS !== undefined && need.bound.admits(tracker) && this.countAt(need, holders) === 0) ??
            false;
    }

    private countAt({ bound }: CopyNeed, holders: Iterable<RunnerTracker>, excluded?: RunnerTracker): number {
        let count = 0;
        for (const holder of holders) {
            count += holder !== excluded && bound.admits(holder) ? 1 : 0;
        }
        return count;
    }

    private sumOf(model: string, valueOf: (need: CopyNeed) => number): number {
        return this.byModel.get(model)?.reduce((sum, need) => sum + valueOf(need), 0) ?? 0;
    }
}
