import type { Gateway } from "./gateway";

/** The place at a brittle upstream that a request holds, if any. */
export class HeldPlace {
    private held: { readonly runner: string; readonly id: string; } | undefined;

    private constructor(private readonly gateway: Gateway) {}

    /** Creates the holder of a request that needs no place yet. */
    static create(gateway: Gateway): HeldPlace {
        return new HeldPlace(gateway);
    }

    /** Whether a place at a process is held. */
    isAt(runner: string): boolean {
        return this.held?.runner === runner;
    }

    /** Holds a place that was given, instead of the one before. */
    hold(runner: string, id: string): void {
        this.giveBack();
        this.held = { runner, id };
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
            this.gateway.placement.returnPlace({ ...held, isRejected });
        }
        return held !== undefined;
    }
}
