import type { AnswerHeaders, HeaderMap } from "../types/requestHeaderCodec";

/** Status and headers of an answer. */
export interface AnswerHead {
    readonly status: number;
    readonly headers: HeaderMap;
    readonly decoded: AnswerHeaders;
}

/** What a sink makes of a part of an answer. */
export enum SinkState {
    Ready = "ready",
    /** The upstream is paused until the sink calls `resume`. */
    Full = "full",
    /** The answer exceeds a limit: the connection is closed. */
    TooLarge = "too-large",
    /** The events do not go on from those that the caller has received: the connection is closed. */
    OutOfOrder = "out-of-order",
}

/** Why an answer is given up, by what the sink makes of it. */
export const rejectionReasons: Readonly<Partial<Record<SinkState, string>>> = {
    [SinkState.TooLarge]: "answer too large",
    [SinkState.OutOfOrder]: "events out of order",
};

/** Consumes an answer as it arrives. */
export interface AnswerSink {
    onHead(head: AnswerHead): void;
    onData(chunk: Buffer, resume: () => void): SinkState;
}
