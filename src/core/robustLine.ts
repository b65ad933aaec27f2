/** Samples that a line is fitted to: the last ones, so that it follows changes. */
const capacity = 32;
/** Samples between two fits. */
const fitInterval = 8;
/** Pairs of samples that a slope needs. */
const minPairs = 64;

/** A fitted line; the slope is undefined if the samples differ too little in x. */
export interface Line {
    readonly base: number;
    readonly slope: number | undefined;
}

const medianOf = (values: Float64Array): number => {
    const sorted = values.sort();
    const middle = sorted.length >> 1;
    return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
};

/** Fits a line by the median of the slopes of all pairs of samples (Theil-Sen), which bears outliers in nearly a third of the samples. */
export class RobustLine {
    private readonly xs = new Float64Array(capacity);
    private readonly ys = new Float64Array(capacity);
    private count = 0;

    private constructor(private readonly minDistance: number, private readonly defaultSlope: number) {}

    /** Creates a line without samples. Pairs that are closer in x than the minimum distance say nothing of the slope; the default holds if there are too few others. */
    static create(minDistance: number, defaultSlope: number): RobustLine {
        return new RobustLine(minDistance, defaultSlope);
    }

    /** Adds a sample; returns the new fit if one is due. */
    add(x: number, y: number): Line | undefined {
        const index = this.count++ % capacity;
        this.xs[index] = x;
        this.ys[index] = y;
        return this.count >= capacity && this.count % fitInterval === 0 ? this.fit() : undefined;
    }

    private fit(): Line {
        const slopes = new Float64Array(capacity * (capacity - 1) / 2);
        let pairs = 0;
        for (let i = 0; i < capacity; i++) {
            for (let j = 0; j < i; j++) {
                const dx = this.xs[i]! - this.xs[j]!;
                if (Math.abs(dx) >= this.minDistance) {
                    slopes[pairs++] = (this.ys[i]! - this.ys[j]!) / dx;
                }
            }
        }
        const slope = pairs < minPairs ? undefined : medianOf(slopes.subarray(0, pairs));
        return { base: medianOf(this.ys.map((y, index) => y - (slope ?? this.defaultSlope) * this.xs[index]!)), slope };
    }
}
