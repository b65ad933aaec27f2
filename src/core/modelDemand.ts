import type { RequestedWork } from "../types/placement";
import { getOrCreate } from "../utils/maps";

/** Half-life of old demand's weight; short, since demand shifts within seconds. */
const halfLifeMs = 4_000;
/** Demand below this many milliseconds of a runner's time per second counts as none. */
const minWorkMs = 0.05;
/** Increase of the average for each millisecond of work. */
const gainPerMs = Math.LN2 / (halfLifeMs / 1_000);

interface DecayingWork {
    work: number;
    updatedAt: number;
    lastRequestAt: number;
}

/** Work that callers request, by model: milliseconds of a runner's time per second, as an exponentially weighted moving average. */
export class ModelDemand {
    private readonly entries = new Map<string, DecayingWork>();

    private constructor(private readonly now: () => number) {}

    static create(now: () => number = () => performance.now()): ModelDemand {
        return new ModelDemand(now);
    }

    /** Counts the work of one request, or the sum that another node counted, whose last request came `idleMs` ago. */
    count(model: string, workMs: number, idleMs = 0): void {
        const entry = getOrCreate(this.entries, model, () => ({ work: 0, updatedAt: this.now(), lastRequestAt: Number.NEGATIVE_INFINITY }));
        entry.work = this.decayed(entry) + workMs * gainPerMs;
        entry.updatedAt = this.now();
        entry.lastRequestAt = Math.max(entry.lastRequestAt, this.now() - idleMs);
    }

    /** Load of a model, as a share of one runner's time. */
    loadOf(model: string): number {
        const entry = this.entries.get(model);
        const work = entry ? this.decayed(entry) : 0;
        return work < minWorkMs ? 0 : work / 1_000;
    }

    /** Time since the last request for a model. */
    idleMs(model: string): number {
        const entry = this.entries.get(model);
        return entry ? this.now() - entry.lastRequestAt : Number.POSITIVE_INFINITY;
    }

    /** Work that brings an empty instance to this one's state, for a new controller. */
    snapshot(): readonly RequestedWork[] {
        return [...this.entries].map(([model, entry]) => ({
            artifact: model,
            workMs: this.decayed(entry) / gainPerMs,
            idleMs: Math.round(this.idleMs(model)),
        })).filter(({ workMs }) => workMs >= minWorkMs);
    }

    private decayed(entry: DecayingWork): number {
        return entry.work * 2 ** (-(this.now() - entry.updatedAt) / halfLifeMs);
    }
}
