import type { MemoryReading } from "../utils/memoryGauge";

const megabyte = 1_048_576;
/** Code, stacks and other memory of the runtime outside of its heap, and what the kernel keeps for connections. */
const runtimeBytes = 76 * megabyte;
/** Buffers that are no longer used: the runtime collects them once they have grown by about this much. */
const uncollectedBytes = 64 * megabyte;
/** Above the stated limit less this, the process occupies more than what is counted explains. */
const marginBytes = 40 * megabyte;
/** Part of the memory that may be used in any case. */
const minShare = 0.05;

/** Bytes that a process may use for its callers and upstreams: the memory that the platform states less what heap and runtime need. */
export const memoryLimitOf = (statedBytes: number, { rss, heapTotal }: Pick<MemoryReading, "rss" | "heapTotal">): number => {
    const overBytes = Math.max(0, rss - (statedBytes - marginBytes));
    return Math.max(minShare * statedBytes, statedBytes - runtimeBytes - uncollectedBytes - heapTotal - overBytes);
};
