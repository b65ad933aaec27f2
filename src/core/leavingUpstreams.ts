import type { LeavingUpstream, UpstreamProcess } from "../types/upstreamWord";
import type { ChangeOrigin, RevisionCounter } from "./sharedLog";
import { SharedLog } from "./sharedLog";

/** Upstreams without a directory entry that are remembered: an entry that comes back may be that of the same process. */
const maxWithoutEntry = 512;

interface Leaving extends UpstreamProcess {
    /** When this node heard of it, on the monotonic clock. */
    readonly at: number;
    readonly origin: ChangeOrigin;
}

/** The upstreams that said that they are leaving, merged from all nodes. Only a later start under the same ID takes requests again. */
export class LeavingUpstreams {
    private readonly entries: SharedLog<Leaving>;

    private constructor(counter: RevisionCounter, private readonly isListed: (id: string) => boolean) {
        this.entries = SharedLog.create(counter);
    }

    /** Creates an empty log; `isListed` returns whether the directory has an upstream. */
    static create(counter: RevisionCounter, isListed: (id: string) => boolean): LeavingUpstreams {
        return new LeavingUpstreams(counter, isListed);
    }

    /** Number of upstreams that are remembered. */
    get size(): number {
        return this.entries.size;
    }

    /** What is known of a process, or of a later one with its ID; undefined if it has not said that it is leaving. */
    find({ id, bornAt }: UpstreamProcess): Leaving | undefined {
        const known = this.entries.get(id);
        return known && bornAt <= known.bornAt ? known : undefined;
    }

    /** Records that a process is leaving; returns whether that is new. */
    add(process: UpstreamProcess, origin: ChangeOrigin, ageMs = 0): boolean {
        if (this.find(process)) {
            return false;
        }
        const { id, bornAt } = process;
        this.entries.set(id, { id, bornAt, at: performance.now() - ageMs, origin }, origin);
        this.removeSurplus();
        return true;
    }

    /** Entries that changed after a revision, or only those whose change did not come from the uplink. */
    changesSince(revision: number, isOutgoing: boolean): readonly LeavingUpstream[] {
        const changes = isOutgoing ? this.entries.outgoingSince(revision) : this.entries.since(revision);
        return changes.map(({ id, bornAt, at }) => ({ id, bornAt, ageMs: performance.now() - at }));
    }

    private removeSurplus(): void {
        if (this.entries.size > maxWithoutEntry) {
            const unlisted = this.entries.values().filter(({ id }) => !this.isListed(id));
            unlisted.slice(0, Math.max(0, unlisted.length - maxWithoutEntry)).forEach(({ id }) => this.entries.delete(id));
        }
    }
}
