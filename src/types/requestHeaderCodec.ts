import type { ModelRequest } from "./modelRequest";

/** What the headers of a caller's request say. */
export interface CallerHeaders {
    readonly requestId: string;
    /** How long the caller waits. */
    readonly deadlineMs?: number;
    readonly lastEventId?: string;
    readonly modelRequest?: ModelRequest;
}

/** What a node tells an upstream with an attempt. */
export interface AttemptHeaders {
    readonly upstreamId: string;
    readonly remainingMs: number;
    /** 0 comes first, 9 last. */
    readonly priority?: number;
    /** The last event that the caller has, where a stream goes on. */
    readonly lastEventId?: string;
}

/** Load that an upstream tells with an answer. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** What the headers of an upstream's answer say. */
export interface AnswerHeaders {
    /** ID of the request that the answer belongs to. */
    readonly requestId?: string;
    /** Whether the upstream that ran the request signed the answer. */
    readonly isSigned: boolean;
    /** Whether the upstream states that it did not run the request. */
    readonly isNotExecuted: boolean;
    /** Whether another upstream answers at the address. */
    readonly isMisdirected: boolean;
    readonly load?: ReportedLoad;
}

/** Headers by lower-case name. */
export type HeaderMap = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Translates headers between the wire and the project's words. */
export interface RequestHeaderCodec {
    decodeCaller(headers: HeaderMap): CallerHeaders;
    /** Whether only the system may set the header. */
    isSystemHeader(name: string): boolean;
    /** Whether the header reaches the upstream even where the Connection header names it. */
    isEndToEndHeader(name: string): boolean;
    /** Names and values in turn. */
    encodeAttempt(attempt: AttemptHeaders): string[];
    decodeAnswer(status: number, headers: HeaderMap): AnswerHeaders;
}
