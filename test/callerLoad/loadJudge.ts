import type { LoadNode } from "./loadNode";
import { graceS } from "./loadNode";
import type { LoadRecord } from "./loadRecord";
import { CallerEnd, UpstreamEnd } from "./loadRecord";
import { routeTimeoutMs } from "./requestPlan";

/** What a request counts as. */
export enum Judgement {
    Served = "served",
    /** 408, 421, 429 or 503. */
    Refused = "refused",
    /** Passed on to a sound upstream, and the connection ended without a whole answer. */
    LostPassedOn = "LOST, passed on",
    /** Read whole as far as its caller can tell, not passed on, and closed later than `lossSlackMs` after its last byte. */
    LostUnsent = "LOST, not passed on",
    /** No answer and no end of the connection. */
    Unanswered = "no answer at all",
    /** A server error though the upstream gave a whole answer. */
    ErrorUnderSound = "error under a sound upstream",
    WrongBody = "wrong body",
    /** Its body was still being sent when its connection ended. */
    CutWhileSent = "cut while its body was sent",
    /** It crossed the close of its connection. */
    Crossed = "crossed the close",
    /** Cut in a stop, and the page excuses it: the upstream was at work in the last part of the grace on a request of the first seconds. */
    Excused = "cut by the end of the grace",
    /** Its time was over. */
    TimedOut = "timed out",
    /** Its upstream had failed. */
    UpstreamFailed = "upstream failed",
    OtherError = "other error",
}

/** Judgements that no run may contain. */
export const violations: ReadonlySet<Judgement> = new Set([
    Judgement.LostPassedOn,
    Judgement.LostUnsent,
    Judgement.Unanswered,
    Judgement.ErrorUnderSound,
    Judgement.WrongBody,
]);

const refusalStatuses: ReadonlySet<number | undefined> = new Set([408, 421, 429, 503]);
/** Bounds of the users' page. */
const lossSlackMs = 200;
const sentAfterStopMs = 3_000;
const lastShareOfGrace = 1 / 6;

const isExcusedByStop = ({ plan, sentAt = Number.POSITIVE_INFINITY, upstreamEndedAt, endedAt = 0 }: LoadRecord, node: LoadNode): boolean => {
    const stop = node.stops.findLast(({ requestedAt }) => requestedAt <= endedAt);
    const workEndedAt = upstreamEndedAt ?? Number.POSITIVE_INFINITY;
    return stop !== undefined && plan.fault === undefined && sentAt <= stop.requestedAt + sentAfterStopMs
        && workEndedAt >= stop.requestedAt + graceS * 1_000 * (1 - lastShareOfGrace);
};

/** Whether the request's own time or its route's had passed when its connection ended. */
const isTimedOut = ({ plan, startedAt, endedAt = 0 }: LoadRecord): boolean => endedAt - startedAt >= Math.min(plan.deadlineMs, routeTimeoutMs);

const judgeAnswer = (record: LoadRecord): Judgement => {
    const { plan, status = 0, upstreamEnd } = record;
    if (refusalStatuses.has(status)) {
        return Judgement.Refused;
    }
    if (status < 500) {
        return status === 200 ? Judgement.Served : Judgement.OtherError;
    }
    if (plan.fault !== undefined) {
        return Judgement.UpstreamFailed;
    }
    if (isTimedOut(record)) {
        return Judgement.TimedOut;
    }
    return upstreamEnd === UpstreamEnd.Whole ? Judgement.ErrorUnderSound : Judgement.OtherError;
};

const judgeClosed = (record: LoadRecord, node: LoadNode): Judgement => {
    const { plan, passedOnAt, sentAt, endedAt = 0 } = record;
    if (sentAt === undefined) {
        return Judgement.CutWhileSent;
    }
    if (passedOnAt !== undefined && plan.fault !== undefined) {
        return Judgement.UpstreamFailed;
    }
    if (isTimedOut(record)) {
        return Judgement.TimedOut;
    }
    if (passedOnAt !== undefined) {
        return isExcusedByStop(record, node) ? Judgement.Excused : Judgement.LostPassedOn;
    }
    return endedAt - sentAt > lossSlackMs ? Judgement.LostUnsent : Judgement.Crossed;
};

/** Judges what became of a request by what its caller and its upstream saw, in the words of the users' page. */
export const judge = (record: LoadRecord, node: LoadNode): Judgement => {
    switch (record.end) {
        case CallerEnd.Whole:
            return judgeAnswer(record);
        case CallerEnd.WrongBody:
            return Judgement.WrongBody;
        case CallerEnd.Cut:
        case CallerEnd.Closed:
            return judgeClosed(record, node);
        default:
            return record.sentAt === undefined ? Judgement.CutWhileSent : Judgement.Unanswered;
    }
};
