import { claimsRun } from "./claimsRun";
import { configRun } from "./configRun";
import { createMemoryRun } from "./memoryRun";
import type { Run } from "./run";

/** Every randomised run. */
export const allRuns: readonly Run<never>[] = [
    claimsRun,
    configRun,
    createMemoryRun([true, true, true]),
    createMemoryRun([false, false, false]),
    createMemoryRun([true, false, false]),
] as unknown as readonly Run<never>[];
