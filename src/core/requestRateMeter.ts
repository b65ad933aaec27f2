/** Time in which the weight of an old request falls to a half. */
const halfLifeMs = 20_000;
/** Rates below this are not worth telling. */
const leastRate = 0.005;

interface Gauge {
    rate: number;
    at: number;
}

/** Requests a second by artifact, as exponentially weighted moving averages. */
export class RequestRateMeter {
    private readonly gauges = new Map<string, Gauge>();

    private constructor(private readonly now: () => number) {}

    /** Makes a meter that has seen nothing. */
    static create(now: () => number = () => performance.now()): RequestRateMeter {
        return new RequestRateMeter(now);
    }

    /** Counts one request. */
    count(artifact: string): void {
        const gauge = this.gauges.get(artifact) ?? { rate: 0, at: this.now() };
        gauge.rate = this.decayed(gauge) + Math.LN2 / (halfLifeMs / 1_000);
        gauge.at = this.now();
        this.gauges.set(artifact, gauge);
    }

    /** Rates by artifact, rounded to what a reader can use. */
    rates(): Readonly<Record<string, number>> {
        const rates: Record<string, number> = {};
        for (const [artifact, gauge] of this.gauges) {
            const rate = this.decayed(gauge);
            if (rate < leastRate) {
                this.gauges.delete(artifact);
            }
            else {
                rates[artifact] = Number(rate.toPrecision(3));
            }
        }
        return rates;
    }

    private decayed(gauge: Gauge): number {
        return gauge.rate * 2 ** (-(this.now() - gauge.at) / halfLifeMs);
    }
}
