/** Weight of a new sample in the averages. */
const smoothingFactor = 0.05;
/** Samples below which the whole maximum is assumed: an estimate that is too low exceeds a runner's memory. */
const minSamples = 20;
/** Deviations that are added to the average, as the requests of one runner may be of one kind. */
const deviations = 1;

/** What generations of a service take: their output as a share of the maximum that they allow, learned from complete streams, and their size. */
export class OutputShare {
    private samples = 0;
    private average = 0;
    private deviation = 0;
    private requests = 0;
    /** Average tokens of a generation: prompt and expected output. */
    meanTokens = 0;

    private constructor() {}

    static create(): OutputShare {
        return new OutputShare();
    }

    /** Share of its maximum that a generation is expected to use, above the average. */
    get expected(): number {
        return this.samples < minSamples ? 1 : Math.min(1, this.average + deviations * this.deviation);
    }

    /** Records the tokens of a generation that is to be sent. */
    onRequest(tokens: number): void {
        this.requests++;
        this.meanTokens += Math.max(smoothingFactor, 1 / this.requests) * (tokens - this.meanTokens);
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
