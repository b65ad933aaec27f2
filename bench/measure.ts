/** A measured quantity with its spread over repeats. */
export interface SampleSummary {
    readonly median: number;
    readonly min: number;
    readonly max: number;
}

const repeats = 5;

/** Median and range of numbers. */
export const summarize = (values: readonly number[]): SampleSummary => {
    const sorted = [...values].sort((a, b) => a - b);
    return { median: sorted[Math.floor(sorted.length / 2)]!, min: sorted[0]!, max: sorted.at(-1)! };
};

/** Processor time of a step in microseconds, as a mean over a batch, repeated. */
export const measureCpuUs = (batch: number, step: (index: number) => void): SampleSummary => {
    for (let index = 0; index < Math.min(batch, 50); index++) {
        step(index);
    }
    return summarize([...Array(repeats).keys()].map(() => {
        const before = process.cpuUsage();
        for (let index = 0; index < batch; index++) {
            step(index);
        }
        const used = process.cpuUsage(before);
        return (used.user + used.system) / batch;
    }));
};

/** Heap bytes that a value holds. */
export const measureHeap = <T>(create: () => T): { readonly bytes: number; readonly value: T; } => {
    globalThis.gc?.();
    const before = process.memoryUsage().heapUsed;
    const value = create();
    globalThis.gc?.();
    return { bytes: process.memoryUsage().heapUsed - before, value };
};

/** A number with three significant digits. */
export const formatNumber = (value: number): string => String(Number(value.toPrecision(3)));

/** Median and range as text. */
export const formatSummary = ({ median, min: least, max: most }: SampleSummary): string =>
    `${formatNumber(median)} (${formatNumber(least)} to ${formatNumber(most)})`;

/** Prints rows as a Markdown table. */
export const printTable = (title: string, header: readonly string[], rows: readonly (readonly (string | number)[])[]): void => {
    console.log(`\n### ${title}\n\n| ${header.join(" | ")} |\n| ${header.map(() => "---").join(" | ")} |`);
    rows.forEach(row => console.log(`| ${row.join(" | ")} |`));
};

/** Slope of a least-squares line. */
export const leastSquaresSlope = (points: readonly (readonly [number, number])[]): number => {
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
    const rise = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
    return rise / points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
};
