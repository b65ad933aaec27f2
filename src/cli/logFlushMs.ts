/** Log lines are written in batches; the last batch is written within this time. */
export const logFlushMs = 100;
