import { getOrCreate } from "../utils/maps";

/** Time in which the weight of old demand falls to a half: short, since demand moves within seconds. */
const halfLifeMs = 4_000;
/** Demand below this many milliseconds of a runner's time a second is forgotten. */
const leastWork = 0.05;

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

    /** Counts work of one request, or of several that another node counted. */
    count(model: string, workMs: number): void {
        const gauge = getOrCreate(this.gauges, model, () => ({ work: 0, at: this.now(), lastAskedAt: 0 }));
        gauge.work = this.decayed(gauge) + workMs * Math.LN2 / (halfLifeMs / 1_000);
        gauge.at = this.now();
        gauge.lastAskedAt = this.now();
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

    private decayed(gauge: Gauge): number {
        return gauge.work * 2 ** (-(this.now() - gauge.at) / halfLifeMs);
    }
}
