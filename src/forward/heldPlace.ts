import { randomUUID } from "node:crypto";
import type { Placement } from "./placement";

/** The place at a brittle upstream that a request holds, if any. */
export class HeldPlace {
    private held: { readonly runner: string; readonly id: string; } | undefined;
    private isClosed = false;

    private constructor(private readonly placement: () => Placement) {}

    /** Creates the holder of a request that needs no place yet. */
    static create(placement: () => Placement): HeldPlace {
        return new HeldPlace(placement);
    }

    /** An ID for the next place. */
    static createId(): string {
        return randomUUID();
    }

    /** Whether a place at a process is held. */
    isAt(runner: string): boolean {
        return this.held?.runner === runner;
    }

    /** Holds a place that was given; one that comes after the request's end is given back at once. */
    hold(runner: string, id: string): void {
        this.giveBack();
        this.held = { runner, id };
        if (this.isClosed) {
            this.giveBack();
        }
    }

    /** Takes over the place of another holder. */
    takeFrom(other: HeldPlace): void {
        const { held } = other;
        other.held = undefined;
        if (held) {
            this.hold(held.runner, held.id);
        }
    }

    /** Gives the place back, if one is held; returns whether it was. */
    giveBack(isRejected = false): boolean {
        const { held } = this;
        this.held = undefined;
        if (held) {
            this.placement().returnPlace({ ...held, isRejected });
        }
        return held !== undefined;
    }

    /** Gives the place back, and any that is still to come. */
    close(): void {
        this.isClosed = true;
        this.giveBack();
    }
}
