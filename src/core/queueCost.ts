/** Value per second of the requests that use one runner fully. */
export const valuePerRunner = 10;

/** Value per second that is lost at a runner through queueing at a utilisation: requests wait for the prefill of others and miss their latency objective. */
export const queueCost = (utilisation: number): number => {
    const nonNegative = Math.max(0, utilisation);
    // Half of the requests are lost at a utilisation of 1, nearly none at a third; the share approaches 1 but does not exceed it.
    const lostShare = nonNegative ** 3 / (1 + nonNegative ** 3);
    return valuePerRunner * nonNegative * lostShare;
};
