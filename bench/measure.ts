/** A measured quantity with its spread over repeats. */
export interface Measured {
    readonly median: number;
    readonly least: number;
    readonly most: number;
}

const repeats = 5;

/** Median and range of numbers. */
export const summarize = (values: readonly number[]): Measured => {
    const sorted = [...values].sort((a, b) => a - b);
    return { median: sorted[Math.floor(sorted.length / 2)]!, least: sorted[0]!, most: sorted.at(-1)! };
};

/** Processor time of a step in microseconds, as a mean over a batch, repeated. */
export const timeStep = (batch: number, step: (index: number) => void): Measured => {
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
export const short = (value: number): string => String(Number(value.toPrecision(3)));

/** Median and range as text. */
export const show = ({ median, least, most }: Measured): string => `${short(median)} (${short(least)} to ${short(most)})`;

/** Prints rows as a Markdown table. */
export const printTable = (title: string, header: readonly string[], rows: readonly (readonly (string | number)[])[]): void => {
    console.log(`\n### ${title}\n\n| ${header.join(" | ")} |\n| ${header.map(() => "---").join(" | ")} |`);
    rows.forEach(row => console.log(`| ${row.join(" | ")} |`));
};

/** Slope of a least-squares line. */
export const slopeOf = (points: readonly (readonly [number, number])[]): number => {
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
    const rise = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
    return rise / points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
};
