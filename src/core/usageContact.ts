import { EventId } from "../types/eventId";
import type { ClockReading } from "../utils/clockReading";
import { maxElapsedMs } from "../utils/clockReading";
import { emit } from "../utils/events";

/** Time without the controller, and without a word from another zone, after which a node may be cut off and others may have taken over its role. */
const maxSilenceMs = 2_000;

/** Whether this node may act as the home node of customers: it is in contact with the controller, or with all zones. */
export class UsageContact {
    private controllerAt: ClockReading | undefined;
    private readonly zoneAt = new Map<string, ClockReading>();
    private wasHeld = false;
    private heldSince = Number.POSITIVE_INFINITY;

    private constructor(private readonly otherZones: () => readonly string[]) {}

    /** Creates the contact of a node that has heard from nobody; `otherZones` returns the zones of the other known nodes. */
    static create(otherZones: () => readonly string[]): UsageContact {
        return new UsageContact(otherZones);
    }

    /** When contact was gained that has held since, on the monotonic clock; undefined without contact. */
    get since(): number | undefined {
        this.check();
        return this.wasHeld ? this.heldSince : undefined;
    }

    /** Records when the controller was heard. */
    onController(at: ClockReading): void {
        this.check();
        this.controllerAt = at;
        this.check();
    }

    /** Records when a node of a zone was heard. */
    onZone(zone: string, at: ClockReading): void {
        if (!this.otherZones().includes(zone)) {
            return;
        }
        this.check();
        this.zoneAt.set(zone, at);
        this.check();
    }

    /** A gap ends contact also if it is noticed late, by the word that ends it. */
    private check(): void {
        const isRecent = (at: ClockReading | undefined): boolean => at !== undefined && maxElapsedMs(at) < maxSilenceMs;
        const zones = this.otherZones();
        const isHeld = isRecent(this.controllerAt) || (zones.length > 0 && zones.every(zone => isRecent(this.zoneAt.get(zone))));
        if (isHeld && !this.wasHeld) {
            this.heldSince = performance.now();
        }
        if (isHeld !== this.wasHeld) {
            emit(EventId.UsageContactChanged, { isHeld, zones: zones.length });
        }
        this.wasHeld = isHeld;
    }
}
