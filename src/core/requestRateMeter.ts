/** Half-life of a request's weight in the average. */
const halfLifeMs = 20_000;
/** An artifact with a lower rate, in requests per second, is removed. */
const minRatePerS = 0.005;

interface DecayingRate {
    rate: number;
    updatedAt: number;
}

/** Requests per second by artifact, as exponentially weighted moving averages. */
export class RequestRateMeter {
    private readonly entries = new Map<string, DecayingRate>();

    private constructor(private readonly now: () => number) {}

    static create(now: () => number = () => performance.now()): RequestRateMeter {
        return new RequestRateMeter(now);
    }

    count(artifact: string): void {
        const entry = this.entries.get(artifact) ?? { rate: 0, updatedAt: this.now() };
        entry.rate = this.decayed(entry) + Math.LN2 / (halfLifeMs / 1_000);
        entry.updatedAt = this.now();
        this.entries.set(artifact, entry);
    }

    /** Requests per second by artifact, rounded to three digits. */
    rates(): Readonly<Record<string, number>> {
        const rates: Record<string, number> = {};
        for (const [artifact, entry] of this.entries) {
            const rate = this.decayed(entry);
            if (rate < minRatePerS) {
                this.entries.delete(artifact);
            }
            else {
                rates[artifact] = Number(rate.toPrecision(3));
            }
        }
        return rates;
    }

    private decayed(entry: DecayingRate): number {
        return entry.rate * 2 ** (-(this.now() - entry.updatedAt) / halfLifeMs);
    }
}
