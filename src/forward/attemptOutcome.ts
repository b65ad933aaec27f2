/** Outcome of an attempt. */
export enum AttemptOutcome {
    /** The upstream's answer is complete and may be relayed. */
    Answered = "answered",
    NotRun = "not-run",
    /** Not run, as the upstream's load of the model takes longer than was expected. */
    TooEarly = "too-early",
    /** No byte was sent: the attempt does not count as a send. */
    Unsent = "unsent",
    /** Not sent either, as the upstream was no longer available. */
    Withheld = "withheld",
    /** No byte was sent, nor can be to any upstream. */
    Unsendable = "unsendable",
    MayHaveRun = "may-have-run",
    /** The upstream ran the request and answered with a server error; that answer is kept. */
    RanAndFailed = "ran-and-failed",
}

/** Outcomes of attempts that do not count as sends. */
export const unsentOutcomes: ReadonlySet<AttemptOutcome> = new Set([AttemptOutcome.Unsent, AttemptOutcome.Unsendable, AttemptOutcome.Withheld]);
/** Outcomes after which the request has certainly not run. */
export const notRunOutcomes: ReadonlySet<AttemptOutcome> = new Set([
    AttemptOutcome.NotRun,
    AttemptOutcome.TooEarly,
    AttemptOutcome.Unsent,
    AttemptOutcome.Withheld,
]);
