import { exitMarginMs } from "../core/exitMargin";
import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import { sleep } from "../utils/time";
import { describeError } from "../utils/transport";
import { TurnMeter } from "../utils/turnMeter";

/** Turns of the event loop that a pause leaves: the one before SIGTERM was noticed, that of its own timer, and one for the exit. */
const reservedTurns = 3;
/** Interval at which a step is checked against the deadline, which comes nearer when the event loop is slow. */
const pollMs = 50;

/** The time that a planned stop has, and what its steps take. */
export class PlannedStop {
    readonly requestedAt = performance.now();
    private readonly turns = TurnMeter.create();
    private readonly measuring = new AbortController();
    private readonly stepsMs: Record<string, number> = {};

    private constructor(private readonly graceMs: number) {}

    /** Begins a stop now. `onDeadline` is called with the present deadline, now and then. */
    static begin(graceMs: number, onDeadline: (deadlineAt: number) => void): PlannedStop {
        const stop = new PlannedStop(graceMs);
        onDeadline(stop.deadlineAt);
        void stop.turns.run(() => onDeadline(stop.deadlineAt), stop.measuring.signal);
        return stop;
    }

    /** When the last step ends at the latest, on the monotonic clock. */
    get deadlineAt(): number {
        return this.requestedAt + this.graceMs - exitMarginMs(this.turns.longestMs, this.graceMs);
    }

    /** The deadline as it is while the event loop is free. */
    get latestDeadlineAt(): number {
        return this.requestedAt + this.graceMs - exitMarginMs(0, this.graceMs);
    }

    /** Runs a step, at most until the deadline, less the time that later steps need. One that fails is logged, and the next one may run. */
    async run(name: string, step: Promise<unknown>, laterStepsMs = 0): Promise<void> {
        const startedAt = performance.now();
        let isDone = false;
        const logFailure = (err: unknown): void => emit(EventId.UnexpectedError, { origin: `step ${name} of the stop`, detail: describeError(err) });
        const done = step.catch(logFailure).finally(() => isDone = true);
        const endsInMs = (): number => this.deadlineAt - laterStepsMs - performance.now();
        while (!isDone && endsInMs() > 0) {
            await Promise.race([done, sleep(Math.max(0, Math.min(pollMs, endsInMs())))]);
        }
        this.stepsMs[name] = Math.round(performance.now() - startedAt);
    }

    /** What the stop's last log line says. */
    get summary(): Readonly<Record<string, unknown>> {
        return {
            stepsMs: this.stepsMs,
            tookMs: Math.round(performance.now() - this.requestedAt),
            longestTurnMs: Math.round(this.turns.longestMs),
            marginMs: Math.round(this.requestedAt + this.graceMs - this.deadlineAt),
        };
    }

    /** Ends the deadline's measuring. */
    end(): void {
        this.measuring.abort();
    }

    /** Waits for a time, as far as the grace period allows it. */
    async pause(ms: number): Promise<void> {
        const remainingMs = this.requestedAt + this.graceMs - performance.now() - reservedTurns * this.turns.longestMs;
        if (remainingMs > 0) {
            await sleep(Math.min(ms, remainingMs));
        }
    }
}
