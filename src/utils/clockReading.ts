/** A reading of two clocks: the monotonic clock stops while the VM is suspended, the wall clock may be adjusted. */
export interface ClockReading {
    readonly monotonicMs: number;
    readonly wallMs: number;
}

/** Reads both clocks. */
export const readClocks = (): ClockReading => ({ monotonicMs: performance.now(), wallMs: Date.now() });

/** Milliseconds since a reading, by the clock that has advanced further. */
export const maxElapsedMs = (reading: ClockReading): number => Math.max(performance.now() - reading.monotonicMs, Date.now() - reading.wallMs);
