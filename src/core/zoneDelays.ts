import { getOrCreate } from "../utils/maps";

/** Time after which the shortest times are measured anew: the way between zones may change. */
const windowMs = 30_000;

/** Shortest times of one zone, in this window and the one before. */
interface ShortestTimes {
    startedAt: number;
    currentMs: number;
    previousMs: number;
}

/** Measures what the way to another zone takes by how long connections to its upstreams take to open. The shortest time of a window counts: longer ones contain waits. */
export class ZoneDelays {
    private readonly times = new Map<string, ShortestTimes>();

    private constructor(private readonly ownZone: () => string, private readonly now: () => number) {}

    /** Creates the delays of a node that has not opened any connection yet. */
    static create(ownZone: () => string, now: () => number = () => performance.now()): ZoneDelays {
        return new ZoneDelays(ownZone, now);
    }

    /** Records how long a connection to an upstream of a zone took to open; the zone is undefined if the upstream has left the directory. */
    record(zone: string | undefined, connectMs: number): void {
        if (zone === undefined) {
            return;
        }
        const now = this.now();
        const times = getOrCreate(this.times, zone, () => ({ startedAt: now, currentMs: Number.POSITIVE_INFINITY, previousMs: Number.POSITIVE_INFINITY }));
        if (now - times.startedAt >= windowMs) {
            times.previousMs = now - times.startedAt < 2 * windowMs ? times.currentMs : Number.POSITIVE_INFINITY;
            times.currentMs = Number.POSITIVE_INFINITY;
            times.startedAt = now;
        }
        times.currentMs = Math.min(times.currentMs, connectMs);
    }

    /** Time that a request loses by leaving for a zone: a round trip more than within the own zone. Undefined while one of the two has not been measured. */
    delayMsTo(zone: string): number | undefined {
        const own = this.shortestMs(this.ownZone());
        const other = this.shortestMs(zone);
        return own === undefined || other === undefined ? undefined : Math.max(0, other - own);
    }

    private shortestMs(zone: string): number | undefined {
        const times = this.times.get(zone);
        return times && this.now() - times.startedAt < 2 * windowMs ? Math.min(times.currentMs, times.previousMs) : undefined;
    }
}
