import type { DigestMessage, DigestPart, DigestSummary } from "../types/digest";

interface HeldPart extends DigestPart {
    /** When the version arrived here, by the monotonic clock. */
    readonly arrivedAt: number;
}

/** A part that has not changed for this long belongs to a node that is gone. */
const forgetAfterMs = 60_000;

const ownerOfKey = (key: string): string => key.slice(0, key.lastIndexOf("/"));

/** The versioned parts that a node holds about itself and its peers. Merging is commutative and idempotent. */
export class DigestStore {
    private readonly parts = new Map<string, HeldPart>();

    private constructor(private readonly self: string, private readonly now: () => number) {}

    /** Makes a store for the parts of node `self`. */
    static create(self: string, now: () => number = () => performance.now()): DigestStore {
        return new DigestStore(self, now);
    }

    /** Publishes an own part under a version above every version seen, so that a restarted node overtakes its past. */
    publish(name: string, value: unknown): void {
        const key = `${this.self}/${name}`;
        const version = Math.max(Date.now(), (this.parts.get(key)?.version ?? 0) + 1);
        this.parts.set(key, { key, version, value, arrivedAt: this.now() });
    }

    /** What the node holds, by key. */
    summary(accepts: (owner: string) => boolean = () => true): DigestSummary {
        const summary: Record<string, number> = {};
        for (const part of this.parts.values()) {
            if (accepts(ownerOfKey(part.key))) {
                summary[part.key] = part.version;
            }
        }
        return summary;
    }

    /** The parts that are newer here than in the summary. */
    newerThan(summary: DigestSummary, accepts: (owner: string) => boolean = () => true): readonly DigestPart[] {
        const newer: DigestPart[] = [];
        for (const { key, version, value } of this.parts.values()) {
            if (version > (summary[key] ?? 0) && accepts(ownerOfKey(key))) {
                newer.push({ key, version, value });
            }
        }
        return newer;
    }

    /** Takes the parts that are newer than those held. */
    merge(parts: readonly DigestPart[]): number {
        let taken = 0;
        for (const part of parts) {
            const held = this.parts.get(part.key);
            if (held && held.version >= part.version) {
                continue;
            }
            const own = ownerOfKey(part.key) === this.self;
            // A part of an earlier life of this node: keep the own value and overtake the version.
            this.parts.set(part.key, own && held ? { ...held, version: part.version + 1 } : { ...part, arrivedAt: this.now() });
            taken++;
        }
        return taken;
    }

    /** Drops the parts of owners that have fallen silent. */
    forget(): void {
        const limit = this.now() - forgetAfterMs;
        const freshOwners = new Set([...this.parts.values()].filter(part => part.arrivedAt >= limit).map(part => ownerOfKey(part.key)));
        for (const key of this.parts.keys()) {
            const owner = ownerOfKey(key);
            if (owner !== this.self && !freshOwners.has(owner)) {
                this.parts.delete(key);
            }
        }
    }

    /** The values of one part name by owner, with their age. */
    values<T>(name: string): readonly { readonly owner: string; readonly value: T; readonly ageMs: number; }[] {
        const suffix = `/${name}`;
        const now = this.now();
        return [...this.parts.values()]
            .filter(part => part.key.endsWith(suffix))
            .map(part => ({ owner: ownerOfKey(part.key), value: part.value as T, ageMs: now - part.arrivedAt }));
    }

    /** The message that opens or answers an exchange with a peer whose summary is known or not. */
    message(theirs?: DigestSummary, accepts?: (owner: string) => boolean): DigestMessage {
        return { from: this.self, summary: this.summary(accepts), parts: theirs ? this.newerThan(theirs, accepts) : [] };
    }
}
