/** Weight of a new sample in the averages. */
const smoothingFactor = 0.05;
/** Samples below which the whole maximum is assumed: an estimate that is too low exceeds a runner's memory. */
const minSamples = 20;
/** Deviations that are added to the average, as the requests of one runner may be of one kind. */
const deviations = 1;

/** Output of generations as a share of the maximum that they allow, learned from complete streams. */
export class OutputShare {
    private samples = 0;
    private average = 0;
    private deviation = 0;

    private constructor() {}

    static create(): OutputShare {
        return new OutputShare();
    }

    /** Share of its maximum that a generation is expected to use, above the average. */
    get expected(): number {
        return this.samples < minSamples ? 1 : Math.min(1, this.average + deviations * this.deviation);
    }

    /** Records the output of a complete generation. */
    add(outputTokens: number, maxOutputTokens: number): void {
        if (maxOutputTokens <= 0) {
            return;
        }
        const share = Math.min(1, outputTokens / maxOutputTokens);
        this.samples++;
        const weight = Math.max(smoothingFactor, 1 / this.samples);
        this.deviation += weight * (Math.abs(share - this.average) - this.deviation);
        this.average += weight * (share - this.average);
    }
}
