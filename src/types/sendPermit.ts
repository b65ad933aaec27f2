import type { ReturnedUsage } from "./returnedUsage";
import type { UsageAnswer } from "./usageAnswer";
import type { UsageRequest } from "./usageRequest";

/** What a generation takes of its runner, beside a slot. */
export interface GenerationTerms {
    /** Prompt and expected output. */
    readonly tokens: number;
    /** Tokens that the runner's memory holds. */
    readonly kvTokens: number;
    /** Predicted time for which the runner reads the prompt. */
    readonly prefillMs: number;
    /** Longest gap that the generation's own stream allows between two events; undefined for an answer without events. */
    readonly gapMs?: number;
    /** Whether its route is among the most urgent ones; short prompts of these do not wait until others are read. */
    readonly isUrgent: boolean;
    /** Whether the asking node sends it without waiting for the answer: its place is given in any case. */
    readonly isSent: boolean;
    /** Whose request it is; undefined where no customers are declared. */
    readonly customer?: string;
    /** Tokens of the asking node's requests in progress there for which the asked node has given no place. */
    readonly unplacedTokens: number;
}

/** Request for one of the places of a brittle upstream, or of a runner that fails beyond its memory. */
export interface PlaceRequest {
    /** Identifies the place until it is given back. */
    readonly id: string;
    /** The node that asks. */
    readonly node: string;
    /** Time after which the place is free again, if it has not been given back. */
    readonly holdMs: number;
    readonly slots: number;
    /** Part of the upstream that the asked node hands out: less than 1 if others may do so at the same time. */
    readonly share: number;
    /** Rejections in a second beyond which the upstream fails. */
    readonly maxRejectionsPerS: number;
    /** Requests in progress at the upstream, of all nodes, as far as the asking node knows. */
    readonly load: number;
    /** The asking node's requests in progress there for which the asked node has given no place. */
    readonly unplaced: number;
    /** Time within which a place is of use; the request is queued only if one is expected by then. */
    readonly maxQueueMs: number;
    /** Time until the first token is due, and the priority of the request. */
    readonly dueInMs: number;
    readonly priority: number;
    /** For generations, at runners that fail beyond their memory. Nodes of earlier releases give places by slots alone. */
    readonly generation?: GenerationTerms;
}

/** Request for the permission to send one request to a runner that has named a limit, or is brittle. */
export interface PermitRequest {
    /** Identifies the runner's process. */
    readonly runner: string;
    /** Undefined if it has named no limit. */
    readonly perSecond?: number;
    /** A later turn than this is of no use. */
    readonly maxWaitMs: number;
    /** Undefined if it is not brittle. */
    readonly place?: PlaceRequest;
}

/** What one node asks another one for: a permit, or the admission of charges, which is for no runner. */
export interface PeerPermitRequest extends PermitRequest {
    readonly usage?: UsageRequest;
}

/** The next turn at a runner that has named a limit, or a place at one that is brittle. */
export interface Permit {
    /** Whether the turn was given to the request; otherwise it would be too late for it. */
    readonly isGranted: boolean;
    readonly waitMs: number;
    /** Whether it was denied for want of room: `waitMs` is an estimate then. */
    readonly isFull?: boolean;
    /** Answers to the charges, in their order; undefined from a node of an earlier release. */
    readonly usage?: readonly UsageAnswer[];
    /** When a caller that is refused now finds room, after those that were refused before it. */
    readonly retryAfterMs?: number;
    /** What a generation lacked; undefined for other requests. */
    readonly lack?: PlaceLack;
    /** Whether a generation was admitted by all its terms: a node of an earlier release knows slots alone. */
    readonly hasTerms?: boolean;
}

/** What a runner lacks for a request. */
export enum PlaceLack {
    Slots = "slots",
    Memory = "memory",
    Prefill = "prefill",
}

/** A place that is given back, or the end of an attempt that had none. */
export interface ReturnedPlace {
    readonly runner: string;
    readonly id?: string;
    /** Whether the upstream rejected the request for want of room. */
    readonly isRejected: boolean;
}

/** What a node tells the one that hands out places: those that it gives back, and its requests in progress without one. */
export interface PlaceReport {
    readonly node: string;
    readonly returned: readonly ReturnedPlace[];
    readonly unplaced: readonly { readonly runner: string; readonly count: number; readonly tokens?: number; }[];
    /** Charges of requests that did not run. */
    readonly usage?: readonly ReturnedUsage[];
}
