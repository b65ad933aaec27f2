import type { RequestedWork } from "../types/placement";
import { getOrCreate } from "../utils/maps";

/** Time in which the weight of old demand falls to a half: short, since demand moves within seconds. */
const halfLifeMs = 4_000;
/** Demand below this many milliseconds of a runner's time a second is forgotten. */
const leastWork = 0.05;
/** What a millisecond of work adds to the average. */
const gainPerMs = Math.LN2 / (halfLifeMs / 1_000);

interface Gauge {
    work: number;
    at: number;
    lastAskedAt: number;
}

/** Work that callers ask for by model: milliseconds of a runner's time a second, as a moving average. */
export class ModelDemand {
    private readonly gauges = new Map<string, Gauge>();

    private constructor(private readonly now: () => number) {}

    /** Makes a meter that has seen nothing. */
    static create(now: () => number = () => performance.now()): ModelDemand {
        return new ModelDemand(now);
    }

    /** Counts work of one request, or of several that another node counted and that ended some time ago. */
    count(model: string, workMs: number, idleMs = 0): void {
        const gauge = getOrCreate(this.gauges, model, () => ({ work: 0, at: this.now(), lastAskedAt: Number.NEGATIVE_INFINITY }));
        gauge.work = this.decayed(gauge) + workMs * gainPerMs;
        gauge.at = this.now();
        gauge.lastAskedAt = Math.max(gauge.lastAskedAt, this.now() - idleMs);
    }

    /** Share of one runner's time that a model needs. */
    loadOf(model: string): number {
        const gauge = this.gauges.get(model);
        const work = gauge ? this.decayed(gauge) : 0;
        return work < leastWork ? 0 : work / 1_000;
    }

    /** Time since a model was last asked for. */
    idleMs(model: string): number {
        const gauge = this.gauges.get(model);
        return gauge ? this.now() - gauge.lastAskedAt : Number.POSITIVE_INFINITY;
    }

    /** Work that brings an empty meter to where this one stands: what a new controller has to be told. */
    snapshot(): readonly RequestedWork[] {
        return [...this.gauges].map(([model, gauge]) => ({
            artifact: model,
            workMs: this.decayed(gauge) / gainPerMs,
            idleMs: Math.round(this.idleMs(model)),
        })).filter(({ workMs }) => workMs >= leastWork);
    }

    private decayed(gauge: Gauge): number {
        return gauge.work * 2 ** (-(this.now() - gauge.at) / halfLifeMs);
    }
}
