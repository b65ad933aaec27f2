import { EventId } from "../types/eventId";
import { emit } from "../utils/events";

/** Time for which one turn of the event loop releases requests. */
const maxReleaseMs = 10;
/** Turns that a request waits: what arrives together with it may be read a turn later. */
const minTurns = 2;
/** Maximum number of requests that one turn releases. */
const maxReleasesPerTurn = 64;
/** A turn that takes longer is logged: closes of connections are read late by as much. */
const longTurnMs = 250;
/** Minimum interval between two log lines on long turns. */
const longTurnLogIntervalMs = 1_000;

interface WaitingRequest {
    readonly release: () => void;
    /** The turn in which the request began to wait. */
    readonly turn: number;
}

/**
 * Lets requests go on once the event loop has read all closes of connections that had arrived before, and only as many at a time as keep the turn of the loop short. A node that
 * has much to do in one turn would otherwise learn of its callers' closes only after it has worked for them.
 */
export class Departures {
    private readonly arrived: WaitingRequest[] = [];
    private readonly begun: WaitingRequest[] = [];
    private isArrivedNext = false;
    private turn = 0;
    /** Callbacks of the present batch that have not run yet. */
    private scheduled = 0;
    private isTurnBegun = false;
    private turnBeganAt = performance.now();
    /** Whether the code that runs now was released by this turn. */
    private isReleasing = false;
    private longTurnLoggedAt = Number.NEGATIVE_INFINITY;

    private constructor() {}

    static create(): Departures {
        return new Departures();
    }

    /**
     * Waits for a turn of the event loop in which the request may go on; returns at once within such a turn, as long as that is recent. Requests that this
     * node has begun to forward alternate with those that have just arrived, so that neither wait for all of the others.
     */
    wait(hasBegun: boolean): Promise<void> {
        if (this.isReleasing && performance.now() - this.turnBeganAt < maxReleaseMs) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            (hasBegun ? this.begun : this.arrived).push({ release: resolve, turn: this.turn });
            if (this.scheduled === 0) {
                this.schedule();
            }
        });
    }

    /** Each release is a callback of its own, so that the runtime finishes what it sets off before the next one; the last callback ends the turn. */
    private schedule(): void {
        this.scheduled = Math.min(this.waitingCount, maxReleasesPerTurn) + 1;
        for (let count = this.scheduled; count > 0; count--) {
            setImmediate(() => this.onScheduled());
        }
    }

    private onScheduled(): void {
        if (!this.isTurnBegun) {
            this.beginTurn();
        }
        this.isReleasing = false;
        this.scheduled--;
        if (this.scheduled === 0) {
            this.isTurnBegun = false;
            if (this.waitingCount > 0) {
                this.schedule();
            }
        }
        else if (performance.now() - this.turnBeganAt < maxReleaseMs) {
            this.releaseFirst();
        }
    }

    private get waitingCount(): number {
        return this.begun.length + this.arrived.length;
    }

    private releaseFirst(): void {
        this.isArrivedNext = !this.isArrivedNext;
        const queues = this.isArrivedNext ? [this.arrived, this.begun] : [this.begun, this.arrived];
        const queue = queues.find(([first]) => first && this.turn - first.turn >= minTurns);
        const first = queue?.shift();
        this.isReleasing = first !== undefined;
        first?.release();
    }

    private beginTurn(): void {
        const now = performance.now();
        const turnMs = now - this.turnBeganAt;
        // The turn before counts only if it left requests waiting: otherwise the loop may have been idle since.
        const wasWaiting = [this.begun[0], this.arrived[0]].some(first => first !== undefined && first.turn < this.turn);
        this.isTurnBegun = true;
        this.turn++;
        this.turnBeganAt = now;
        if (wasWaiting && turnMs > longTurnMs && now - this.longTurnLoggedAt >= longTurnLogIntervalMs) {
            this.longTurnLoggedAt = now;
            emit(EventId.LongTurn, { turnMs: Math.round(turnMs), waiting: this.waitingCount });
        }
    }
}
