import { EventId } from "../types/eventId";
import { RequestStep } from "../types/requestStep";
import { emit } from "../utils/events";
import type { Notice } from "../utils/notice";
import { describeError } from "../utils/transport";
import type { Call } from "./call";

/** Interval at which upstreams are checked for silence. */
const silenceCheckIntervalMs = 100;

/** Watches an attempt for silence. */
export interface AttemptWatch {
    /** Whether the attempt should be moved; called repeatedly. */
    isExhausted(): boolean;
}

/** Aborts an attempt at the deadline, when the process exits, and earlier if its upstream is silent and another one can take the request. */
export class AttemptTimers {
    private silenceTimer: NodeJS.Timeout | undefined;
    private readonly deadlineTimer: NodeJS.Timeout;
    private readonly stopListening: () => void;

    private constructor(private readonly call: Call, private readonly abort: AbortController, exit: Notice) {
        // A stream that has begun cannot be answered with a failure: it goes on to the last.
        this.stopListening = exit.listen(() => call.res.headersSent ? undefined : abort.abort());
        this.deadlineTimer = setTimeout(() => abort.abort(), Math.max(0, call.deadlineAt - performance.now()));
    }

    /** Starts the timer of the deadline; `exit` is given when the process exits. */
    static start(call: Call, abort: AbortController, exit: Notice): AttemptTimers {
        return new AttemptTimers(call, abort, exit);
    }

    /** Checks for silence; the attempt is aborted if `failOver` returns true. An error ends the checks alone. */
    watchSilence(watch: AttemptWatch, failOver: () => boolean): void {
        this.silenceTimer = setInterval(() => {
            try {
                if (watch.isExhausted() && failOver()) {
                    this.abort.abort();
                }
            }
            catch (err) {
                clearInterval(this.silenceTimer);
                emit(EventId.AttemptStepFailed, { request: this.call.caller.requestId, step: RequestStep.Choose, detail: describeError(err) });
            }
        }, silenceCheckIntervalMs);
    }

    stop(): void {
        this.stopListening();
        clearTimeout(this.deadlineTimer);
        clearInterval(this.silenceTimer);
    }
}
