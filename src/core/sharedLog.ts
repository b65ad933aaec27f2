/** Counts the changes of what nodes share, so that a peer is sent only what changed since its last exchange. */
export interface RevisionCounter {
    value: number;
}

/** Where a change came from. */
export enum ChangeOrigin {
    /** This node, or a node that reports to it. */
    Below = "below",
    /** The peer that this node reports to; it is not sent back. */
    Uplink = "uplink",
}

interface Entry<V> {
    readonly value: V;
    readonly revision: number;
    /** Revision of the last change that did not come from the uplink. */
    readonly outgoingRevision: number;
}

/** Values by key, with a revision for each change. */
export class SharedLog<V> {
    private readonly entries = new Map<string, Entry<V>>();

    private constructor(private readonly counter: RevisionCounter) {}

    /** Creates an empty log; logs that are exchanged together share a counter. */
    static create<V>(counter: RevisionCounter): SharedLog<V> {
        return new SharedLog(counter);
    }

    get size(): number {
        return this.entries.size;
    }

    get(key: string): V | undefined {
        return this.entries.get(key)?.value;
    }

    /** All values, in the order of their first change. */
    values(): readonly V[] {
        return [...this.entries.values()].map(({ value }) => value);
    }

    set(key: string, value: V, origin: ChangeOrigin): void {
        const revision = ++this.counter.value;
        const outgoingRevision = origin === ChangeOrigin.Uplink ? this.entries.get(key)?.outgoingRevision ?? 0 : revision;
        this.entries.set(key, { value, revision, outgoingRevision });
    }

    delete(key: string): void {
        this.entries.delete(key);
    }

    /** Values that changed after a revision. */
    since(revision: number): readonly V[] {
        return [...this.entries.values()].filter(entry => entry.revision > revision).map(({ value }) => value);
    }

    /** Values that changed after a revision by other changes than the uplink's. */
    outgoingSince(revision: number): readonly V[] {
        return [...this.entries.values()].filter(entry => entry.outgoingRevision > revision).map(({ value }) => value);
    }
}
