import type { DigestMessage, DigestPart, DigestSummary } from "../types/digest";

interface Origin {
    version: number;
    /** When the version was received or published here, on the monotonic clock. */
    receivedAt: number;
    readonly parts: Map<string, { readonly version: number; readonly value: unknown; }>;
}

/** Selects the origins that an exchange covers. */
export type OriginFilter = (origin: string) => boolean;

/** An origin without a new version for this long is evicted. */
const originRetentionMs = 60_000;
const zonePrefix = "zone:";

/** Name of the origin under which a zone's digest is published to other zones. */
export const zoneOrigin = (availabilityZone: string): string => `${zonePrefix}${availabilityZone}`;
/** Whether an origin is a zone rather than a node. */
export const isZoneOrigin: OriginFilter = origin => origin.startsWith(zonePrefix);

/**
 * The versioned digest parts of this node, its peers and other zones. All parts of an origin share one increasing version counter, so that one
 * number for each origin summarises what a node holds. Merging is commutative and idempotent.
 */
export class DigestStore {
    private readonly origins = new Map<string, Origin>();

    private constructor(private readonly self: string, private readonly now: () => number) {}

    /** Creates the store of node `self`. */
    static create(self: string, now: () => number = () => performance.now()): DigestStore {
        return new DigestStore(self, now);
    }

    /** Publishes a part of this node, or of an origin that it represents, under a version above every version seen of that origin. */
    publish(name: string, value: unknown, originName = this.self): void {
        const origin = this.origins.get(originName) ?? { version: 0, receivedAt: 0, parts: new Map() };
        origin.version = Math.max(Date.now(), origin.version + 1);
        origin.receivedAt = this.now();
        origin.parts.set(name, { version: origin.version, value });
        this.origins.set(originName, origin);
    }

    /** The newest version held of each origin. */
    summary(accepts: OriginFilter = () => true): DigestSummary {
        return Object.fromEntries([...this.origins].filter(([name]) => accepts(name)).map(([name, { version }]) => [name, version]));
    }

    /** The parts held here that are newer than the summary. */
    newerThan(summary: DigestSummary, accepts: OriginFilter = () => true): readonly DigestPart[] {
        const newer: DigestPart[] = [];
        for (const [origin, { version, parts }] of this.origins) {
            const known = summary[origin] ?? 0;
            if (version > known && accepts(origin)) {
                parts.forEach((part, name) => part.version > known && newer.push({ origin, name, ...part }));
            }
        }
        return newer;
    }

    /** Merges received parts; those not newer than the held ones are ignored. */
    merge(parts: readonly DigestPart[]): void {
        for (const { origin: originName, name, version, value } of parts) {
            if (originName === this.self) {
                this.republishAbove(version);
                continue;
            }
            const origin = this.origins.get(originName) ?? { version: 0, receivedAt: 0, parts: new Map() };
            if (version > (origin.parts.get(name)?.version ?? 0)) {
                origin.parts.set(name, { version, value });
            }
            if (version > origin.version) {
                origin.version = version;
                origin.receivedAt = this.now();
            }
            this.origins.set(originName, origin);
        }
    }

    /** Evicts origins without a new version within the retention period. */
    evictSilentOrigins(): void {
        const evictBefore = this.now() - originRetentionMs;
        for (const [name, { receivedAt }] of this.origins) {
            if (name !== this.self && receivedAt < evictBefore) {
                this.origins.delete(name);
            }
        }
    }

    /** The values of one part by origin, with the time since the origin's last version was received. */
    values<T>(name: string): readonly { readonly origin: string; readonly value: T; readonly ageMs: number; }[] {
        const now = this.now();
        return [...this.origins].flatMap(([origin, { parts, receivedAt }]) => {
            const part = parts.get(name);
            return part ? [{ origin, value: part.value as T, ageMs: now - receivedAt }] : [];
        });
    }

    /** Like `values`, for every part whose name is `name` or starts with `name` and a space. */
    valuesWithPrefix<T>(name: string): readonly { readonly value: T; readonly ageMs: number; }[] {
        const now = this.now();
        return [...this.origins.values()].flatMap(({ parts, receivedAt }) =>
            [...parts].filter(([other]) => other === name || other.startsWith(`${name} `)).map(([, part]) => ({
                value: part.value as T,
                ageMs: now - receivedAt,
            }))
        );
    }

    /** The answer to a peer's summary: this node's summary, and the parts that the peer lacks. */
    answer(peerSummary: DigestSummary, accepts?: OriginFilter): DigestMessage {
        return { summary: this.summary(accepts), parts: this.newerThan(peerSummary, accepts) };
    }

    /** An earlier incarnation of this node published a higher version: republishes this node's parts above it. */
    private republishAbove(version: number): void {
        const own = this.origins.get(this.self);
        if (own && version > own.version) {
            own.version = version;
            [...own.parts].forEach(([name, { value }]) => this.publish(name, value));
        }
    }
}
