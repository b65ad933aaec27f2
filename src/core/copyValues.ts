/** Value per second of the first copy of a model that requests are waiting for, beside that of any model. */
export const awaitedModelValue = 1;
/** Value per second of the first copy of any model, as callers may request it. */
export const anyModelValue = 0.15;

/** Time after which a model that is still without a copy gains value. Shorter waits are those of ordinary loads. */
const turnGraceMs = 1_500;
/** What a model gains for each second after that, as much as by 0.04 of a runner's time of demand: models with little demand come before those that wait for less long. */
const turnUrgencyPerS = 0.4;
/** Bound of what a model without a copy gains against those that would be unloaded for it: one that serves far more work is not, however long the other one waits. */
const maxTurnValue = 1;

/** How much sooner the turn of a model comes, as value per second, by the time for which it has been requested without a copy. */
export const turnUrgency = (awaitedMs: number): number => turnUrgencyPerS * Math.max(0, awaitedMs - turnGraceMs) / 1_000;

/** Value per second that a first copy of such a model gains. */
export const turnValue = (awaitedMs: number): number => Math.min(maxTurnValue, turnUrgency(awaitedMs));
