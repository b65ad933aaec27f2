import type { HeaderMap } from "../types/requestHeaderCodec";

/** What marks the end of an answer's body. */
export enum AnswerFraming {
    Length = "length",
    Chunks = "chunks",
    /** Neither a length nor chunks: the body ends with its connection. */
    Connection = "connection",
}

/** How the body of an answer with these headers is framed. */
export const framingOf = (headers: HeaderMap): AnswerFraming => {
    const encodings = headers["transfer-encoding"];
    if (encodings !== undefined) {
        // Only chunks mark the end of a body; they are the last encoding.
        return /(^|[\s,])chunked\s*$/i.test(String(encodings)) ? AnswerFraming.Chunks : AnswerFraming.Connection;
    }
    return headers["content-length"] === undefined ? AnswerFraming.Connection : AnswerFraming.Length;
};
