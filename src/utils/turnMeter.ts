import { sleep } from "./time";

const sampleMs = 50;
/** A turn counts for this long. */
const windowMs = 3_000;

/** Measures how long the turns of the event loop are, by how late timers fire. */
export class TurnMeter {
    private samples: readonly { readonly at: number; readonly lateMs: number; }[] = [];

    private constructor() {}

    static create(): TurnMeter {
        return new TurnMeter();
    }

    /** The longest recent turn. */
    get longestMs(): number {
        return Math.max(0, ...this.samples.map(({ lateMs }) => lateMs));
    }

    /** How late the latest timer fired. */
    get latestMs(): number {
        return this.samples.at(-1)?.lateMs ?? 0;
    }

    /** Measures until the signal aborts; `onSample` is called after each sample. */
    async run(onSample: () => void, signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const startedAt = performance.now();
            await sleep(sampleMs, signal);
            const at = performance.now();
            this.samples = [...this.samples.filter(sample => at - sample.at < windowMs), { at, lateMs: at - startedAt - sampleMs }];
            if (!signal.aborted) {
                onSample();
            }
        }
    }
}
