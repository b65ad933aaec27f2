import { RequestStep } from "../types/requestStep";
import { Verdict } from "../types/verdict";

/** How far a request has got: what an error that no step expects means for its caller. */
export class RequestProgress {
    /** Empty until the request's headers have been decoded. */
    requestId = "";
    step = RequestStep.Read;
    /** Whether bytes of the request were sent to an upstream that has not stated that it did not run it. */
    mayHaveRun = false;

    private constructor() {}

    /** Creates the progress of a request that has just arrived. */
    static create(): RequestProgress {
        return new RequestProgress();
    }

    get verdict(): Verdict {
        return this.mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun;
    }
}
