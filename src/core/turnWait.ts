/** Share of a request's remaining time that its turn must leave beside the predicted time of an answer, which may take longer. */
const reserveShare = 0.1;

/** How long a request may wait for its turn at an upstream that has named a limit. */
export const maxTurnWaitMs = (remainingMs: number, neededMs: number): number => Math.max(0, (1 - reserveShare) * remainingMs - neededMs);
