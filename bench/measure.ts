/** Median and range of repeated measurements. */
export interface SampleSummary {
    readonly median: number;
    readonly min: number;
    readonly max: number;
}

const measurementCount = 5;

/** Computes the median and range of numbers. */
export const summarize = (values: readonly number[]): SampleSummary => {
    const sorted = [...values].sort((a, b) => a - b);
    return { median: sorted[Math.floor(sorted.length / 2)]!, min: sorted[0]!, max: sorted.at(-1)! };
};

/** Measures the CPU time of a step in microseconds: the mean over a batch, for several batches after a warm-up. */
export const measureCpuUs = (batch: number, step: (index: number) => void): SampleSummary => {
    for (let index = 0; index < Math.min(batch, 50); index++) {
        step(index);
    }
    return summarize([...Array(measurementCount).keys()].map(() => {
        const before = process.cpuUsage();
        for (let index = 0; index < batch; index++) {
            step(index);
        }
        const used = process.cpuUsage(before);
        return (used.user + used.system) / batch;
    }));
};

/** Creates a value and measures the heap bytes that it retains. */
export const measureHeap = <T>(create: () => T): { readonly bytes: number; readonly value: T; } => {
    globalThis.gc?.();
    const before = process.memoryUsage().heapUsed;
    const value = create();
    globalThis.gc?.();
    return { bytes: process.memoryUsage().heapUsed - before, value };
};

/** Formats a number with three significant digits. */
export const formatNumber = (value: number): string => String(Number(value.toPrecision(3)));

/** Formats a median and range. */
export const formatSummary = ({ median, min, max }: SampleSummary): string => `${formatNumber(median)} (${formatNumber(min)} to ${formatNumber(max)})`;

/** Prints rows as a Markdown table. */
export const printTable = (title: string, header: readonly string[], rows: readonly (readonly (string | number)[])[]): void => {
    console.log(`\n### ${title}\n\n| ${header.join(" | ")} |\n| ${header.map(() => "---").join(" | ")} |`);
    rows.forEach(row => console.log(`| ${row.join(" | ")} |`));
};

/** Slope of the least-squares line through the points. */
export const leastSquaresSlope = (points: readonly (readonly [number, number])[]): number => {
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
    const rise = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
    return rise / points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
};
