import type { UpstreamProcess } from "../types/upstreamWord";

/** Longest time for which an upstream is left alone at its request. */
const maxQuietMs = 3_600_000;
/** Bounds of the time over which requests to an upstream increase after it asked for quiet. */
const minRampMs = 200;
const maxRampMs = 1_000;
/** Afterwards it gets no more than it has slots for twice as long, so that those that waited do not all come at once. */
const holdFactor = 2;

interface QuietTime {
    readonly bornAt: number;
    /** End of the time, on the monotonic clock. */
    readonly until: number;
    /** Time over which requests increase after the end. */
    readonly rampMs: number;
}

/** The times for which upstreams asked this node for no requests. */
export class QuietTimes {
    private readonly times = new Map<string, QuietTime>();

    private constructor(private readonly now: () => number) {}

    /** Creates an empty table. */
    static create(now: () => number): QuietTimes {
        return new QuietTimes(now);
    }

    /** Times that are not over, by upstream. */
    get remaining(): readonly number[] {
        return [...this.times.values()].map(({ until }) => until - this.now()).filter(ms => ms > 0);
    }

    /** Number of upstreams that are remembered. */
    get size(): number {
        return this.times.size;
    }

    /** Records that a process asked for quiet; a shorter time than it asked for before has no effect. Returns by how much the time left grew. */
    ask(process: UpstreamProcess, askedMs: number): number {
        this.removeOver();
        const { id, bornAt } = process;
        const known = this.times.get(id);
        if (known && bornAt < known.bornAt) {
            return 0;
        }
        const before = this.remainingMs(process);
        const ms = Math.min(askedMs, maxQuietMs);
        if (ms <= before) {
            return 0;
        }
        this.times.set(id, { bornAt, until: this.now() + ms, rampMs: Math.min(maxRampMs, Math.max(minRampMs, ms)) });
        return ms - before;
    }

    /** Time for which a process gets no requests; 0 if it did not ask for that, or the time is over. */
    remainingMs(process: UpstreamProcess): number {
        return Math.max(0, (this.find(process)?.until ?? 0) - this.now());
    }

    /** Share of its slots that an upstream may have in use: 0 at the end of its quiet time, increasing to 1; undefined if there is no limit. */
    slotShare(process: UpstreamProcess): number | undefined {
        const known = this.find(process);
        return known && !this.isOver(known) ? Math.min(1, Math.max(0, (this.now() - known.until) / known.rampMs)) : undefined;
    }

    private isOver({ until, rampMs }: QuietTime): boolean {
        return this.now() >= until + (1 + holdFactor) * rampMs;
    }

    private find({ id, bornAt }: UpstreamProcess): QuietTime | undefined {
        const known = this.times.get(id);
        return known && bornAt <= known.bornAt ? known : undefined;
    }

    private removeOver(): void {
        this.times.forEach((time, id) => this.isOver(time) && this.times.delete(id));
    }
}
