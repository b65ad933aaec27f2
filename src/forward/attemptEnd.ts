import { isOwnError, isSystemRefusal } from "../utils/transport";
import type { AnswerFraming } from "./answerFraming";

/** How an attempt ended. */
export enum AttemptEndKind {
    /** The complete answer arrived. */
    Complete = "whole",
    /** The node gave the attempt up before it asked for a connection. */
    Withdrawn = "withdrawn",
    /** No byte of the request was sent. */
    Unsent = "unsent",
    /** No byte of the request was sent, as the kept connection had been closed. */
    Stale = "stale",
    /** No byte of the request was sent, as its method, path or a header cannot be sent to any upstream. */
    Unsendable = "unsendable",
    /** The connection ended, or the answer belonged to another request: the request may have run. */
    Lost = "lost",
    /** The node aborted the attempt. */
    Aborted = "aborted",
    /** No byte of the request was sent: when the connection was open, the upstream was no longer available. */
    Withheld = "withheld",
}

/** What of this node kept an attempt from being sent. */
export enum OwnFault {
    /** The handling of this request, of which others know nothing. */
    Request = "request",
    /** The HTTP client, which would fail for other requests, too. */
    Client = "client",
    /** The system, which refused a new connection to the upstream: others may be reached, by address or over connections that are open. */
    System = "system",
}

/** What of this node an error is due to that kept an attempt from being sent; undefined for one of the other side. */
export const ownFaultOf = (err: unknown): OwnFault | undefined => isOwnError(err) ? (isSystemRefusal(err) ? OwnFault.System : OwnFault.Client) : undefined;

/** What arrived of an answer's body. */
export interface ReceivedBody {
    /** Parts in which the parser delivered it. */
    readonly parts: number;
    /** Their bytes, without what frames them. */
    readonly bytes: number;
}

/** How and why an attempt ended. */
export interface AttemptEnd {
    readonly kind: AttemptEndKind;
    readonly reason: string;
    /** What marks the end of the answer; undefined if no head arrived. */
    readonly framing: AnswerFraming | undefined;
    /** Whether this node itself is why nothing was sent. */
    readonly own?: OwnFault;
    /** What arrived of the answer's body. */
    readonly received?: ReceivedBody;
}

/** The end of an attempt that was given up before a connection was asked for. */
export const withdrawn: AttemptEnd = { kind: AttemptEndKind.Withdrawn, reason: "aborted", framing: undefined };

/** Ends of attempts of which no byte was sent. */
export const unsentKinds: ReadonlySet<AttemptEndKind> = new Set([
    AttemptEndKind.Withdrawn,
    AttemptEndKind.Unsent,
    AttemptEndKind.Unsendable,
    AttemptEndKind.Withheld,
]);
