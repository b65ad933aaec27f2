import type { StoreVersion } from "../types/storeVersion";
import { eraOf } from "../types/storeVersion";
import type { DirectoryChange, DirectoryEntry, UpstreamServer } from "../types/upstreamServer";
import { UpstreamState } from "../types/upstreamServer";
import { getOrCreate } from "../utils/maps";
import { isLaterState } from "./laterState";
import { recoveryGraceMs } from "./storeAvailability";

/** Called after a change of the directory with the upstream's entry from before it. */
export type DirectoryObserver = (change: DirectoryChange, before: UpstreamServer | undefined) => void;

/** A restored row of an upstream that had been removed expires within this time, unless the upstream lives. */
const restoredRowExpiryMs = 6_000;
/** Removed upstreams that are remembered; a peer that lacks older removals is sent the whole directory. */
const maxRemoved = 1_024;

/** A change that is applied after a while, unless a newer one arrives before. */
interface PendingChange {
    readonly version: StoreVersion;
    readonly timer: NodeJS.Timeout;
}

/** A removed upstream. */
interface Removal {
    readonly version: StoreVersion;
    /** Start of the process that was removed. */
    readonly bornAt: number;
}

/** The upstreams known to this node, from the store or from peers. The higher version of a row wins. */
export class UpstreamDirectory {
    private readonly entries = new Map<string, DirectoryEntry>();
    /** Removals, so that an older entry from a peer does not restore one. */
    private readonly removed = new Map<string, Removal>();
    private readonly readyByService = new Map<string, readonly UpstreamServer[]>();
    private readonly pendingRemovals = new Map<string, PendingChange>();
    /** Restored rows of removed upstreams, which may only be remains. */
    private readonly pendingReturns = new Map<string, PendingChange>();
    private observers: DirectoryObserver[] = [];
    /** Version from which on all removals are known. */
    private removalsKnownFrom: StoreVersion = 0;
    /** Version of the store up to which the directory has been received. */
    version: StoreVersion = 0;

    private constructor() {}

    /** Creates an empty directory. */
    static create(): UpstreamDirectory {
        return new UpstreamDirectory();
    }

    /** Registers an observer that is called after each change. */
    observe(observer: DirectoryObserver): void {
        this.observers.push(observer);
    }

    /** The upstream with an ID, in any state. */
    get(id: string): UpstreamServer | undefined {
        return this.entries.get(id)?.server;
    }

    /** All upstreams of a service that take new requests. */
    readyOf(service: string): readonly UpstreamServer[] {
        return getOrCreate(
            this.readyByService,
            service,
            () => this.all().filter(server => server.service === service && server.state === UpstreamState.Ready),
        );
    }

    /** All upstreams, in any state. */
    all(): readonly UpstreamServer[] {
        return [...this.entries.values()].map(({ server }) => server);
    }

    /** Version up to which all changes are applied; it ends before the earliest pending removal. */
    get appliedVersion(): StoreVersion {
        return Math.min(this.version, ...[...this.pendingRemovals.values()].map(({ version }) => version - 1));
    }

    /** Whether `changesSince` has all changes after a version; otherwise only the whole directory tells what was removed. */
    hasChangesSince(version: StoreVersion): boolean {
        return version >= this.removalsKnownFrom;
    }

    /** Changes after a version, for a peer that lacks them. */
    changesSince(version: StoreVersion): readonly DirectoryChange[] {
        const changes: DirectoryChange[] = [];
        this.entries.forEach((entry, id) => entry.version > version && changes.push({ id, version: entry.version, server: entry.server }));
        this.removed.forEach((removal, id) => removal.version > version && changes.push({ id, version: removal.version }));
        return changes;
    }

    /**
     * Applies a change unless one as new or newer is known. With a `graceMs`, a deleted row is removed only after that time, unless a newer change
     * arrives before.
     */
    apply(change: DirectoryChange, graceMs = 0): void {
        // A peer may still report an entry that was deleted before this node's first read of the table.
        if (change.version > this.removalsKnownFrom) {
            this.applyChange(change, graceMs);
        }
    }

    /**
     * Applies the whole table as of a version: entries that are not in it were deleted. A table that is no newer than this directory proves no deletion and
     * may still list what has been deleted since; only its newer rows are applied.
     */
    replace(changes: readonly DirectoryChange[], version: StoreVersion, graceMs: number): void {
        if (version <= this.version) {
            changes.forEach(change => this.apply(change));
            return;
        }
        // Before the first read, missing entries are those of a peer that is behind.
        const isRestored = this.version > 0 && eraOf(version) > eraOf(this.version);
        const present = new Set(changes.map(({ id }) => id));
        changes.forEach(change => this.applyChange(change));
        for (const [id, entry] of this.entries) {
            if (!present.has(id) && entry.version <= version) {
                this.applyChange({ id, version }, isRestored ? Math.max(graceMs, recoveryGraceMs) : graceMs);
            }
        }
        // What is written from now on is no remainder of the restored copy.
        this.removed.forEach(({ version: removedAt, bornAt }, id) =>
            !present.has(id) && eraOf(removedAt) < eraOf(version) && this.removed.set(id, { version, bornAt })
        );
        this.removalsKnownFrom = Math.max(this.removalsKnownFrom, version);
        this.version = version;
    }

    private applyChange(change: DirectoryChange, graceMs = 0): void {
        const { id, version, server } = change;
        const entry = this.entries.get(id);
        const removal = this.removed.get(id);
        const knownVersion = Math.max(entry?.version ?? 0, removal?.version ?? 0);
        if (version <= knownVersion) {
            return;
        }
        this.cancelPending(id);
        if (!server) {
            this.applyRemoval(change, graceMs);
            return;
        }
        const isFirstOfEra = eraOf(version) > eraOf(knownVersion);
        if (isFirstOfEra && removal && server.bornAt <= removal.bornAt) {
            this.removed.set(id, { ...removal, version });
            const timer = setTimeout(() => this.setEntry(change), restoredRowExpiryMs).unref();
            this.pendingReturns.set(id, { version, timer });
            return;
        }
        this.setEntry(isFirstOfEra && entry && isLaterState(entry.server, server) ? { ...change, server: entry.server } : change);
    }

    private applyRemoval(change: DirectoryChange, graceMs: number): void {
        const { id, version } = change;
        const before = this.entries.get(id)?.server;
        if (before && graceMs > 0) {
            this.pendingRemovals.set(id, { version, timer: setTimeout(() => this.applyChange(change), graceMs).unref() });
            return;
        }
        this.entries.delete(id);
        const bornAt = before?.bornAt ?? this.removed.get(id)?.bornAt ?? 0;
        this.removed.delete(id);
        this.removed.set(id, { version, bornAt });
        this.forgetOldRemovals();
        this.notify(change, before);
    }

    private setEntry(change: DirectoryChange): void {
        const { id, version, server } = change;
        const before = this.entries.get(id)?.server;
        this.pendingReturns.delete(id);
        this.entries.set(id, { server: server!, version });
        this.removed.delete(id);
        this.notify(change, before);
    }

    private notify(change: DirectoryChange, before: UpstreamServer | undefined): void {
        this.readyByService.clear();
        this.observers.forEach(observer => observer(change, before));
    }

    private cancelPending(id: string): void {
        for (const pending of [this.pendingRemovals, this.pendingReturns]) {
            clearTimeout(pending.get(id)?.timer);
            pending.delete(id);
        }
    }

    private forgetOldRemovals(): void {
        for (const [id, { version }] of this.removed) {
            if (this.removed.size <= maxRemoved) {
                return;
            }
            this.removed.delete(id);
            this.removalsKnownFrom = Math.max(this.removalsKnownFrom, version);
        }
    }
}
