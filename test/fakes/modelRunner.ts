/** A generation at a runner. */
interface Sequence {
    readonly tokens: number;
    unreadTokens: number;
    steps: number;
    readonly events: number;
    readonly onEvent: (count: number) => void;
    readonly onEnd: () => void;
}

const chunkTokens = 4_096;
const tokensPerMs = 38.4;
const stepMs = 5.5;
const stepMsPerSequence = 0.05;
const stepsPerEvent = 5;
const idleMs = 1;

/** A runner that reads prompts in chunks between the decoding steps of all generations, as the measured ones do, on the runtime's clock. */
export class ModelRunner {
    /** Most tokens and requests that it held at a time. */
    mostTokens = 0;
    mostSequences = 0;
    private sequences: Sequence[] = [];

    private constructor(readonly key: string) {}

    /** Starts a runner that holds nothing. */
    static start(key: string): ModelRunner {
        const runner = new ModelRunner(key);
        runner.step();
        return runner;
    }

    /** Number of requests in progress. */
    get size(): number {
        return this.sequences.length;
    }

    /** Runs a generation; resolves at its end. */
    run(promptTokens: number, events: number, onEvent: (count: number) => void): Promise<void> {
        return new Promise(onEnd => {
            const tokens = promptTokens + events * stepsPerEvent;
            this.sequences.push({ tokens, unreadTokens: promptTokens, steps: 0, events, onEvent, onEnd });
            this.mostSequences = Math.max(this.mostSequences, this.sequences.length);
            this.mostTokens = Math.max(this.mostTokens, this.sequences.reduce((sum, sequence) => sum + sequence.tokens, 0));
        });
    }

    private step(): void {
        const decoding = this.sequences.filter(({ unreadTokens }) => unreadTokens === 0);
        let readTokens = 0;
        for (const sequence of this.sequences) {
            const count = Math.min(sequence.unreadTokens, chunkTokens - readTokens);
            sequence.unreadTokens -= count;
            readTokens += count;
        }
        const takesMs = this.sequences.length === 0 ? idleMs : stepMs + stepMsPerSequence * this.sequences.length + readTokens / tokensPerMs;
        setTimeout(() => {
            for (const sequence of decoding) {
                sequence.steps++;
                if (sequence.steps % stepsPerEvent === 0) {
                    sequence.onEvent(sequence.steps / stepsPerEvent);
                }
            }
            const ended = decoding.filter(({ steps, events }) => steps >= events * stepsPerEvent);
            this.sequences = this.sequences.filter(sequence => !ended.includes(sequence));
            ended.forEach(({ onEnd }) => onEnd());
            this.step();
        }, takesMs);
    }
}
