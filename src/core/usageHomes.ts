import { EventId } from "../types/eventId";
import type { ReturnedUsage } from "../types/returnedUsage";
import type { UsageAnswer } from "../types/usageAnswer";
import type { UsageCharge } from "../types/usageCharge";
import { UsageOutcome } from "../types/usageOutcome";
import { emit } from "../utils/events";
import type { Random } from "../utils/random";
import type { BucketLimit } from "./usageBucket";
import { UsageBucket } from "./usageBucket";

/** Time between two searches for buckets that need not be kept. */
const forgetIntervalMs = 5_000;
/** The bucket of a customer that is no longer listed is kept for this time: if it is listed again, its earlier use counts. */
const unlistedMs = 60_000;

interface HomeBucket {
    readonly bucket: UsageBucket;
    limit: BucketLimit;
    configVersion: number;
    usedAt: number;
}

const isSameLimit = (a: BucketLimit, b: BucketLimit): boolean => a.perSecond === b.perSecond && a.burst === b.burst;

/** The buckets of the customers whose home this node is. */
export class UsageHomes {
    private readonly buckets = new Map<string, HomeBucket>();
    private forgottenAt = performance.now();
    /** The limits of the configuration in force at this node. */
    private limits: ReadonlyMap<string, BucketLimit> = new Map();
    private configVersion = 0;

    private constructor(private readonly self: string, private readonly random: Random) {}

    /** Creates the state of a node that has admitted nothing. */
    static create(self: string, random: Random): UsageHomes {
        return new UsageHomes(self, random);
    }

    /** Number of buckets that are kept. */
    get size(): number {
        return this.buckets.size;
    }

    /** Levels of the buckets by customer. */
    get levels(): ReadonlyMap<string, number> {
        return new Map([...this.buckets].map(([customer, { bucket }]) => [customer, bucket.level]));
    }

    /** Applies the limits of a new version. `sinceOf` says since when this node has been the home of a customer, undefined if it is not. */
    applyLimits(limits: ReadonlyMap<string, BucketLimit>, configVersion: number, sinceOf: (customer: string) => number | undefined): void {
        const before = this.limits;
        const isFirst = this.configVersion === 0;
        this.limits = limits;
        this.configVersion = configVersion;
        for (const [customer, limit] of limits) {
            const previous = before.get(customer);
            const since = isFirst ? undefined : sinceOf(customer);
            const isRaised = limit.burst > (previous?.burst ?? 0);
            const kept = this.buckets.get(customer);
            if (kept) {
                this.setLimit(customer, kept, limit, configVersion);
            }
            else if (isRaised && since !== undefined && !UsageBucket.create(limit, since).isFull) {
                // Without a bucket nothing was used since then. What a new one would hold is too little by the difference.
                const bucket = UsageBucket.create(previous ?? { perSecond: limit.perSecond, burst: 0 }, since);
                bucket.setLimit(limit);
                this.buckets.set(customer, { bucket, limit, configVersion, usedAt: performance.now() });
            }
        }
    }

    /** Admits or refuses a charge. What was used before `since`, when this node became the customer's home, is not known. */
    charge(charge: UsageCharge, since: number): UsageAnswer {
        const { customer, units, configVersion } = charge;
        const limit = this.limitOf(charge);
        if (!limit) {
            return { outcome: UsageOutcome.Admitted };
        }
        const version = Math.max(configVersion, this.configVersion);
        this.forget();
        let home = this.buckets.get(customer);
        if (!home || home.bucket.since < since) {
            home = { bucket: UsageBucket.create(limit, since), limit, configVersion: version, usedAt: 0 };
            this.buckets.set(customer, home);
            const sinceMs = Math.round(performance.now() - since);
            emit(EventId.UsageHomeBegun, { customer, sinceMs, level: Math.round(home.bucket.level), ...limit, configVersion: version });
        }
        home.usedAt = performance.now();
        this.setLimit(customer, home, limit, version);
        const { bucket } = home;
        return bucket.take(units)
            ? { outcome: UsageOutcome.Admitted, node: this.self, bucket: bucket.id }
            : { outcome: UsageOutcome.Refused, retryAfterMs: bucket.returnInMs(units, this.random) };
    }

    /** Takes units back; those that another bucket admitted are ignored, as this one never deducted them. */
    giveBack({ customer, bucket, units }: ReturnedUsage): void {
        const home = this.buckets.get(customer);
        if (home?.bucket.id === bucket) {
            home.bucket.giveBack(units);
        }
    }

    /** The newer of the limit that this node knows and that of the asking node. */
    private limitOf({ customer, perSecond, burst, configVersion }: UsageCharge): BucketLimit | undefined {
        return configVersion > this.configVersion ? { perSecond, burst } : this.limits.get(customer);
    }

    private setLimit(customer: string, home: HomeBucket, limit: BucketLimit, configVersion: number): void {
        if (configVersion >= home.configVersion && !isSameLimit(home.limit, limit)) {
            home.bucket.setLimit(limit);
            emit(EventId.UsageLimitApplied, { customer, ...limit, before: home.limit, level: Math.round(home.bucket.level), configVersion });
            home.limit = limit;
        }
        home.configVersion = Math.max(home.configVersion, configVersion);
    }

    /** Forgets buckets that a new one would equal, and those of customers that have been unlisted for long. */
    private forget(): void {
        const now = performance.now();
        if (now - this.forgottenAt < forgetIntervalMs) {
            return;
        }
        this.forgottenAt = now;
        for (const [customer, { bucket, usedAt }] of this.buckets) {
            const isUnlisted = !this.limits.has(customer) && now - usedAt > unlistedMs;
            if (isUnlisted || (bucket.isFull && this.isFullAnew(customer, bucket.since))) {
                this.buckets.delete(customer);
            }
        }
    }

    /** Whether a bucket that is created now would be full as well; without a rate it would be empty. */
    private isFullAnew(customer: string, since: number): boolean {
        const limit = this.limits.get(customer);
        return limit !== undefined && UsageBucket.create(limit, since).isFull;
    }
}
