import { EventId } from "../types/eventId";
import type { TryResult } from "../types/tryResult";
import { emit } from "../utils/events";
import { sleep } from "../utils/time";

/** Pause before the next try: it doubles after each one, up to a bound that keeps a node from starting late. */
const firstPauseMs = 25;
const maxPauseMs = 200;
/** Interval at which a wait that lasts is logged again. */
const reminderIntervalMs = 10_000;

/** The waits of a process for conditions that pass by themselves: they last until the condition has passed, or the signal aborts. */
export class PassingWaits {
    private readonly startedAt = new Map<string, number>();

    private constructor(readonly signal: AbortSignal) {}

    /** Creates a set of waits; by default they have no other end than that of the condition. */
    static create(signal: AbortSignal = new AbortController().signal): PassingWaits {
        return new PassingWaits(signal);
    }

    /** How long the oldest present wait has lasted; 0 without one. */
    get longestMs(): number {
        return this.startedAt.size === 0 ? 0 : performance.now() - Math.min(...this.startedAt.values());
    }

    /** Tries until it succeeds; undefined once the signal has aborted. What cannot pass is thrown by the try. */
    async run<T>(waitsFor: string, tryOnce: () => Promise<TryResult<T>>): Promise<T | undefined> {
        const startedAt = performance.now();
        let pauseMs = firstPauseMs;
        let logged: { readonly reason: string; readonly at: number; } | undefined;
        try {
            while (!this.signal.aborted) {
                const result = await tryOnce();
                const now = performance.now();
                const waitedMs = Math.round(now - startedAt);
                if (result.kind === "done") {
                    if (logged) {
                        emit(EventId.WaitPassed, { waitsFor, waitedMs });
                    }
                    return result.value;
                }
                this.startedAt.set(waitsFor, startedAt);
                if (result.reason !== logged?.reason || now - logged.at >= reminderIntervalMs) {
                    logged = { reason: result.reason, at: now };
                    emit(EventId.NodeStartRetried, { waitsFor, reason: result.reason, waitedMs });
                }
                await sleep(pauseMs, this.signal);
                pauseMs = Math.min(maxPauseMs, 2 * pauseMs);
            }
            return undefined;
        }
        finally {
            this.startedAt.delete(waitsFor);
        }
    }
}
