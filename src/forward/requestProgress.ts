import type { RelayedRequest } from "../types/relayedRequest";
import { RequestStep } from "../types/requestStep";
import { Verdict } from "../types/verdict";
import type { AnswerFraming } from "./answerFraming";

/** How far a request has got: what its end without an answer means for its caller. */
export class RequestProgress {
    /** Empty until the request's headers have been decoded. */
    requestId = "";
    step = RequestStep.Ahead;
    /** Whether bytes of the request were sent to an upstream that has not stated that it did not run it. */
    mayHaveRun = false;
    /** When it arrived, on the monotonic clock. */
    readonly startedAt = performance.now();
    /** Bytes of its body that have been read. */
    bodyBytes = 0;
    /** Upstream and framing of the latest attempt, and the upstream's software version. */
    upstream: string | undefined;
    framing: AnswerFraming | undefined;
    softwareVersion: string | undefined;
    /** The peer that the request was passed on to last. */
    peer: string | undefined;
    /** Sends to upstreams, and those of them that may have run. */
    sends = 0;
    runs = 0;
    /** Whether a line states how it ended: an answer, a refusal or an error. */
    hasFinalLine = false;
    /** Whether the whole body of its answer was written, though the connection may still be read. */
    isAnswerWritten = false;
    /** Whether this node has cut the answer, so that it does not look complete. */
    isCut = false;

    private constructor(
        private readonly exitDeadlineAt: () => number,
        /** What the peer that passed it on says of it. */ readonly relayed: RelayedRequest | undefined,
    ) {}

    /** Creates the progress of a request that has just arrived, with the time on the monotonic clock at which the process exits at the latest. */
    static create(exitDeadlineAt: () => number, relayed?: RelayedRequest): RequestProgress {
        return new RequestProgress(exitDeadlineAt, relayed);
    }

    /** Time until the process exits at the latest. */
    get exitInMs(): number {
        return this.exitDeadlineAt() - performance.now();
    }

    get verdict(): Verdict {
        return this.mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun;
    }
}
