import type { ModelRequest } from "./modelRequest";
import type { UpstreamWord } from "./upstreamWord";

/** Decoded headers of a caller's request. */
export interface CallerHeaders {
    readonly requestId: string;
    /** Time that the caller allows for the answer. */
    readonly deadlineMs?: number;
    readonly lastEventId?: string;
    /** ID of the request that brought the first event of the stream which this request resumes. */
    readonly resumedRequestId?: string;
    readonly modelRequest?: ModelRequest;
}

/** Values that a node sends to an upstream in the headers of an attempt. */
export interface AttemptHeaders {
    /** Undefined for a peer, which chooses the upstream. */
    readonly upstreamId?: string;
    readonly remainingMs: number;
    /** 0 is served first, 9 last. */
    readonly priority?: number;
    /** ID of the last event that the caller has received, for a resumed stream. */
    readonly lastEventId?: string;
    /** Name of the customer; undefined without one. */
    readonly customer?: string;
}

/** Load that an upstream reports with an answer. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** Decoded headers of an upstream's answer. */
export interface AnswerHeaders extends UpstreamWord {
    /** ID of the request that the answer belongs to. */
    readonly requestId?: string;
    /** Whether the answer carries the signature of the upstream that ran the request. */
    readonly isSigned: boolean;
    /** Whether the upstream states that it did not run the request. */
    readonly isNotExecuted: boolean;
    readonly load?: ReportedLoad;
    /** Requests per second that the upstream takes from all nodes together; undefined if it names no limit. */
    readonly limitPerS?: number;
}

/** Headers by lower-case name. */
export type HeaderMap = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Encodes and decodes the platform's request and answer headers. */
export interface RequestHeaderCodec {
    decodeCaller(headers: HeaderMap): CallerHeaders;
    /** Whether the header is reserved for the system; a caller's value is not forwarded. */
    isSystemHeader(name: string): boolean;
    /** The keys that a request names, one for each header with one, from names and values alternating. */
    decodeKeys(rawHeaders: readonly string[]): readonly string[];
    /** Whether the header names a customer or its key; a caller's value is not forwarded where customers are declared. */
    isCustomerHeader(name: string): boolean;
    /** Whether the header is forwarded even if the Connection header names it. */
    isEndToEndHeader(name: string): boolean;
    /** Header names and values, alternating. */
    encodeAttempt(attempt: AttemptHeaders): string[];
    decodeAnswer(status: number, headers: HeaderMap): AnswerHeaders;
}
