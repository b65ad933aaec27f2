import { ZoneRefusal } from "../types/zoneRefusal";

/** Weight of a new sample in the averages of predicted times and of the share that leaves. */
const smoothingFactor = 0.1;
/** Interval between two steps of a share: an effect of the last step shows once nodes have told each other their loads, every 400 ms. */
const stepIntervalMs = 500;
/** Difference between the zones, relative to the time in the own zone, from which they count as uneven, and below which they are even again after a time. */
const unevenGain = 0.25;
const evenGain = 0.1;
const evenAfterMs = 5_000;
/** Smallest share that leaves of which a slower zone beyond is a consequence, and the smallest share of a bound: requests that leave show whether it pays again. */
const minShare = 0.05;
/** Change of a share in one step: factor while leaving does not pay, growth while it does, and return to no bound while the zones are about even. */
const decrease = 0.7;
const growth = 0.1;
const recovery = 0.02;

/** What is known of one service in another zone, and which share of the requests may leave for it. */
export class ZonePair {
    /** Share of requests that may leave; 1 is no bound. */
    share = 1;
    /** Sums over the candidates of the present choice: slots, slots by predicted time, and the age of the newest figures. */
    slots = 0;
    private slotsByMs = 0;
    ageMs = Number.POSITIVE_INFINITY;
    /** Time that the present request would lose on the way to the zone and back. */
    delayMs = 0;
    /** Delay and cost of the bytes. */
    crossingMs = 0;
    /** Why the present request must not leave for the zone; undefined if it may. */
    refusal: ZoneRefusal | undefined;
    /** Requests that were chosen to leave for the zone since the start, and how often leaving was refused. */
    left = 0;
    readonly refused: Record<ZoneRefusal, number> = {
        [ZoneRefusal.PassedOn]: 0,
        [ZoneRefusal.OldFigures]: 0,
        [ZoneRefusal.ReceiverBusy]: 0,
        [ZoneRefusal.Share]: 0,
    };
    private leftShare = 0;
    private ownMs: number | undefined;
    private otherMs = 0;
    private steppedAt = Number.NEGATIVE_INFINITY;
    private unevenAt = Number.NEGATIVE_INFINITY;
    /** Whether one of the zones is much faster. */
    isUneven = false;

    private constructor(readonly zone: string) {}

    /** Creates the state of a zone without a bound. */
    static create(zone: string): ZonePair {
        return new ZonePair(zone);
    }

    /** Predicted time in the zone in the present choice: the mean by slots that fast upstreams weigh most in, as they get most requests. */
    get predictedMs(): number {
        return this.slots / this.slotsByMs;
    }

    /** Average gain of leaving relative to the time in the own zone, below 0 if the own zone is faster. */
    get gain(): number {
        return this.ownMs === undefined ? 0 : (this.ownMs - this.otherMs - this.crossingMs) / this.ownMs;
    }

    /** Begins a choice. */
    clear(): void {
        this.slots = 0;
        this.slotsByMs = 0;
        this.ageMs = Number.POSITIVE_INFINITY;
        this.refusal = undefined;
    }

    /** Adds a candidate of the present choice. */
    add(slots: number, predictedMs: number, ageMs: number): void {
        this.slots += slots;
        this.slotsByMs += slots / Math.max(1, predictedMs);
        this.ageMs = Math.min(this.ageMs, ageMs);
    }

    /** Averages the times of the present choice and adjusts the share; returns whether the zones became uneven, or even. */
    observe(ownMs: number, now: number): boolean {
        const { predictedMs, ownMs: previousMs = ownMs } = this;
        this.otherMs = this.ownMs === undefined ? predictedMs : this.otherMs + smoothingFactor * (predictedMs - this.otherMs);
        this.ownMs = previousMs + smoothingFactor * (ownMs - previousMs);
        if (now - this.steppedAt < stepIntervalMs) {
            return false;
        }
        this.steppedAt = now;
        const distance = Math.abs(this.gain);
        if (distance >= evenGain) {
            this.unevenAt = now;
        }
        const wasUneven = this.isUneven;
        this.isUneven = wasUneven ? this.share < 1 || now - this.unevenAt < evenAfterMs : distance > unevenGain;
        this.share = this.isUneven ? this.nextShare() : 1;
        return wasUneven !== this.isUneven;
    }

    /** Records whether the present choice leaves for the zone. */
    onChosen(leaves: boolean): void {
        this.left += leaves ? 1 : 0;
        this.leftShare += smoothingFactor * ((leaves ? 1 : 0) - this.leftShare);
    }

    /** A zone that became slower than the own one while requests left for it gets fewer of them; the bound begins at the share that leaves already. */
    private nextShare(): number {
        const { gain, share, leftShare } = this;
        if (gain < -evenGain) {
            return leftShare < minShare ? share : Math.max(minShare, decrease * Math.min(share, leftShare));
        }
        return Math.min(1, share + (gain > evenGain ? growth : recovery));
    }
}
