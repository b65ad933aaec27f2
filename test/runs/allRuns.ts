import { createClaimsRun } from "./claimsRun";
import { createConfigRun } from "./configRun";
import { createMemoryRun } from "./memoryRun";
import type { Run } from "./run";

/** Every randomized run. */
export const allRuns: readonly Run<never>[] = [
    createClaimsRun(),
    createConfigRun(),
    createMemoryRun([true, true, true]),
    createMemoryRun([false, false, false]),
    createMemoryRun([true, false, false]),
] as unknown as readonly Run<never>[];
