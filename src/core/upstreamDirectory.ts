import type { DirectoryChange, DirectoryEntry, UpstreamServer } from "../types/upstreamServer";
import { UpstreamState } from "../types/upstreamServer";
import { getOrCreate } from "../utils/maps";

/** What a directory's change did to an upstream. */
export type DirectoryObserver = (change: DirectoryChange, before: UpstreamServer | undefined) => void;

/** A dropped row that may come back. */
interface LapsingEntry {
    readonly version: number;
    readonly timer: NodeJS.Timeout;
}

/** The upstreams that the node knows, from the store or from peers. The higher version of a row wins. */
export class UpstreamDirectory {
    private readonly entries = new Map<string, DirectoryEntry>();
    /** Versions of dropped rows, so that an older entry from a peer does not bring one back. */
    private readonly dropped = new Map<string, number>();
    private readonly byService = new Map<string, readonly UpstreamServer[]>();
    private lapsing = new Map<string, LapsingEntry>();
    private observers: DirectoryObserver[] = [];
    /** Newest version of the store up to which the directory is known. */
    version = 0;

    private constructor() {}

    /** Makes an empty directory. */
    static create(): UpstreamDirectory {
        return new UpstreamDirectory();
    }

    /** Calls the observer after each change. */
    observe(observer: DirectoryObserver): void {
        this.observers.push(observer);
    }

    /** The upstream with an ID, also one that is draining. */
    get(id: string): UpstreamServer | undefined {
        return this.entries.get(id)?.server;
    }

    /** All upstreams of a service that take new requests. */
    readyOf(service: string): readonly UpstreamServer[] {
        return getOrCreate(
            this.byService,
            service,
            () => this.all().filter(server => server.service === service && server.state === UpstreamState.Ready),
        );
    }

    /** All upstreams, also those that are draining. */
    all(): readonly UpstreamServer[] {
        return [...this.entries.values()].map(({ server }) => server);
    }

    /** Version up to which all changes are applied: a dropped row that may come back is not yet. */
    get appliedVersion(): number {
        return Math.min(this.version, ...[...this.lapsing.values()].map(({ version }) => version - 1));
    }

    /** Changes after a version, for a peer that lacks them. */
    changesSince(version: number): readonly DirectoryChange[] {
        const changes: DirectoryChange[] = [];
        this.entries.forEach((entry, id) => entry.version > version && changes.push({ id, version: entry.version, server: entry.server }));
        this.dropped.forEach((at, id) => at > version && changes.push({ id, version: at }));
        return changes;
    }

    /** Applies a change unless a newer one is known. A dropped row that may come back lapses only after `graceMs`. */
    apply(change: DirectoryChange, graceMs = 0): void {
        const known = Math.max(this.entries.get(change.id)?.version ?? 0, this.dropped.get(change.id) ?? 0);
        if (change.version <= known) {
            return;
        }
        clearTimeout(this.lapsing.get(change.id)?.timer);
        this.lapsing.delete(change.id);
        if (!change.server && graceMs > 0 && this.entries.has(change.id)) {
            this.lapsing.set(change.id, { version: change.version, timer: setTimeout(() => this.apply(change), graceMs).unref() });
            return;
        }
        const before = this.entries.get(change.id)?.server;
        if (change.server) {
            this.entries.set(change.id, { server: change.server, version: change.version });
            this.dropped.delete(change.id);
        }
        else {
            this.entries.delete(change.id);
            this.dropped.set(change.id, change.version);
        }
        this.byService.clear();
        this.observers.forEach(observer => observer(change, before));
    }

    /** Takes a reading of the whole table: what is not in it was dropped. */
    replace(changes: readonly DirectoryChange[], version: number, graceMs: number): void {
        const present = new Set(changes.map(({ id }) => id));
        changes.forEach(change => this.apply(change));
        for (const [id, entry] of this.entries) {
            if (!present.has(id) && entry.version <= version) {
                this.apply({ id, version }, graceMs);
            }
        }
        this.version = Math.max(this.version, version);
    }
}
