/** A moment on two clocks: the monotonic one stands still while a VM is suspended, the time of day may be set. */
export interface ClockReading {
    readonly monotonicMs: number;
    readonly wallMs: number;
}

/** The present moment. */
export const readClocks = (): ClockReading => ({ monotonicMs: performance.now(), wallMs: Date.now() });

/** Time since a moment, by the clock on which more of it has passed. */
export const maxElapsedMs = (moment: ClockReading): number => Math.max(performance.now() - moment.monotonicMs, Date.now() - moment.wallMs);
