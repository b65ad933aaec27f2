import type { DirectoryChange, DirectoryEntry, UpstreamServer } from "../types/upstreamServer";
import { UpstreamState } from "../types/upstreamServer";
import { getOrCreate } from "../utils/maps";

/** Called after a change of the directory with the upstream's entry from before it. */
export type DirectoryObserver = (change: DirectoryChange, before: UpstreamServer | undefined) => void;

/** A deleted row whose removal is delayed, because the row may be written again. */
interface PendingRemoval {
    readonly version: number;
    readonly timer: NodeJS.Timeout;
}

/** The upstreams known to this node, from the store or from peers. The higher version of a row wins. */
export class UpstreamDirectory {
    private readonly entries = new Map<string, DirectoryEntry>();
    /** Versions of deleted rows, so that an older entry from a peer does not restore one. */
    private readonly deletedVersions = new Map<string, number>();
    private readonly readyByService = new Map<string, readonly UpstreamServer[]>();
    private pendingRemovals = new Map<string, PendingRemoval>();
    private observers: DirectoryObserver[] = [];
    /** Version of the last read of the whole table, which holds everything up to it. */
    private snapshotVersion = 0;
    /** Version of the store up to which the directory has been received. */
    version = 0;

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
    get appliedVersion(): number {
        return Math.min(this.version, ...[...this.pendingRemovals.values()].map(({ version }) => version - 1));
    }

    /** Changes after a version, for a peer that lacks them. */
    changesSince(version: number): readonly DirectoryChange[] {
        const changes: DirectoryChange[] = [];
        this.entries.forEach((entry, id) => entry.version > version && changes.push({ id, version: entry.version, server: entry.server }));
        this.deletedVersions.forEach((deletedVersion, id) => deletedVersion > version && changes.push({ id, version: deletedVersion }));
        return changes;
    }

    /**
     * Applies a change unless one as new or newer is known. With a `graceMs`, a deleted row is removed only after that time, unless a newer change
     * arrives before.
     */
    apply(change: DirectoryChange, graceMs = 0): void {
        // A peer may still report an entry that was deleted before this node's first read of the table.
        if (change.version > this.snapshotVersion) {
            this.applyChange(change, graceMs);
        }
    }

    private applyChange(change: DirectoryChange, graceMs = 0): void {
        const knownVersion = Math.max(this.entries.get(change.id)?.version ?? 0, this.deletedVersions.get(change.id) ?? 0);
        if (change.version <= knownVersion) {
            return;
        }
        clearTimeout(this.pendingRemovals.get(change.id)?.timer);
        this.pendingRemovals.delete(change.id);
        if (!change.server && graceMs > 0 && this.entries.has(change.id)) {
            this.pendingRemovals.set(change.id, { version: change.version, timer: setTimeout(() => this.applyChange(change), graceMs).unref() });
            return;
        }
        const before = this.entries.get(change.id)?.server;
        if (change.server) {
            this.entries.set(change.id, { server: change.server, version: change.version });
            this.deletedVersions.delete(change.id);
        }
        else {
            this.entries.delete(change.id);
            this.deletedVersions.set(change.id, change.version);
        }
        this.readyByService.clear();
        this.observers.forEach(observer => observer(change, before));
    }

    /** Applies a read of the whole table: entries that are not in it were deleted. */
    replace(changes: readonly DirectoryChange[], version: number, graceMs: number): void {
        const present = new Set(changes.map(({ id }) => id));
        changes.forEach(change => this.applyChange(change));
        for (const [id, entry] of this.entries) {
            if (!present.has(id) && entry.version <= version) {
                this.applyChange({ id, version }, graceMs);
            }
        }
        this.snapshotVersion = version;
        this.version = Math.max(this.version, version);
    }
}
