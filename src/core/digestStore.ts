import type { DigestMessage, DigestPart, DigestSummary } from "../types/digest";

interface Origin {
    version: number;
    /** When the version arrived here, by the monotonic clock. */
    arrivedAt: number;
    readonly parts: Map<string, { readonly version: number; readonly value: unknown; }>;
}

/** Which origins an exchange covers. */
export type OriginFilter = (origin: string) => boolean;

/** An origin that has not changed for this long is gone. */
const forgetAfterMs = 60_000;
const zonePrefix = "zone:";

/** The origin under which a zone is told to other zones. */
export const zoneOrigin = (availabilityZone: string): string => `${zonePrefix}${availabilityZone}`;
/** Whether an origin stands for a zone. */
export const isZoneOrigin: OriginFilter = origin => origin.startsWith(zonePrefix);

/**
 * The versioned parts that a node holds about itself, its peers and other zones. The versions of an origin rise over all of its parts, so one
 * number an origin sums up what a node holds. Merging is commutative and idempotent.
 */
export class DigestStore {
    private readonly origins = new Map<string, Origin>();

    private constructor(private readonly self: string, private readonly now: () => number) {}

    /** Makes a store for the parts of node `self`. */
    static create(self: string, now: () => number = () => performance.now()): DigestStore {
        return new DigestStore(self, now);
    }

    /** Publishes a part of this node, or of an origin for which it speaks, under a version above every version seen. */
    publish(name: string, value: unknown, originName = this.self): void {
        const origin = this.origins.get(originName) ?? { version: 0, arrivedAt: 0, parts: new Map() };
        origin.version = Math.max(Date.now(), origin.version + 1);
        origin.arrivedAt = this.now();
        origin.parts.set(name, { version: origin.version, value });
        this.origins.set(originName, origin);
    }

    /** What the node holds. */
    summary(accepts: OriginFilter = () => true): DigestSummary {
        return Object.fromEntries([...this.origins].filter(([name]) => accepts(name)).map(([name, { version }]) => [name, version]));
    }

    /** The parts that are newer here than in the summary. */
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

    /** Takes the parts that are newer than those held. */
    merge(parts: readonly DigestPart[]): void {
        for (const { origin: originName, name, version, value } of parts) {
            if (originName === this.self) {
                this.overtake(version);
                continue;
            }
            const origin = this.origins.get(originName) ?? { version: 0, arrivedAt: 0, parts: new Map() };
            if (version > (origin.parts.get(name)?.version ?? 0)) {
                origin.parts.set(name, { version, value });
            }
            if (version > origin.version) {
                origin.version = version;
                origin.arrivedAt = this.now();
            }
            this.origins.set(originName, origin);
        }
    }

    /** Drops the origins that have fallen silent. */
    evictSilentOrigins(): void {
        const limit = this.now() - forgetAfterMs;
        for (const [name, { arrivedAt }] of this.origins) {
            if (name !== this.self && arrivedAt < limit) {
                this.origins.delete(name);
            }
        }
    }

    /** The value of one part by origin, with the age of the origin's last change. */
    values<T>(name: string): readonly { readonly origin: string; readonly value: T; readonly ageMs: number; }[] {
        const now = this.now();
        return [...this.origins].flatMap(([origin, { parts, arrivedAt }]) => {
            const part = parts.get(name);
            return part ? [{ origin, value: part.value as T, ageMs: now - arrivedAt }] : [];
        });
    }

    /** Like values, for every part whose name is `name` or begins with it and a space. */
    valuesWithPrefix<T>(name: string): readonly { readonly value: T; readonly ageMs: number; }[] {
        const now = this.now();
        return [...this.origins.values()].flatMap(({ parts, arrivedAt }) =>
            [...parts].filter(([other]) => other === name || other.startsWith(`${name} `)).map(([, part]) => ({
                value: part.value as T,
                ageMs: now - arrivedAt,
            }))
        );
    }

    /** The answer to a summary: what this node holds, and what the other lacks. */
    answer(theirs: DigestSummary, accepts?: OriginFilter): DigestMessage {
        return { summary: this.summary(accepts), parts: this.newerThan(theirs, accepts) };
    }

    /** An earlier life of this node published a higher version: the own parts are told again above it. */
    private overtake(version: number): void {
        const own = this.origins.get(this.self);
        if (own && version > own.version) {
            own.version = version;
            [...own.parts].forEach(([name, { value }]) => this.publish(name, value));
        }
    }
}
