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
    /** Upstream and framing of the latest attempt. */
    upstream: string | undefined;
    framing: AnswerFraming | undefined;
    /** Whether a line states how it ended: an answer, a refusal or an error. */
    hasFinalLine = false;
    /** Whether this node has cut the answer, so that it does not look complete. */
    isCut = false;

    private constructor() {}

    /** Creates the progress of a request that has just arrived. */
    static create(): RequestProgress {
        return new RequestProgress();
    }

    get verdict(): Verdict {
        return this.mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun;
    }
}
