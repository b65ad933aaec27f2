/** Value per second of the first copy of a model that requests are waiting for, beside that of any model. */
export const awaitedModelValue = 1;
/** Value per second of the first copy of any model, as callers may request it. */
export const anyModelValue = 0.15;
