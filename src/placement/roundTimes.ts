/** Interval between two planning rounds. */
export const roundIntervalMs = 100;
/** Minimum gap between two rounds, and maximum share of CPU time that rounds may take: the same thread forwards requests. */
const minRoundGapMs = 30;
const maxRoundCpuShare = 0.1;

/** Gap after a round that took some time. */
export const roundGapMs = (tookMs: number): number => Math.max(minRoundGapMs, tookMs / maxRoundCpuShare);
