import type { AnswerHead } from "./answerSink";
import type { UpstreamConnection } from "./upstreamConnection";

/**
 * Why an answer that ended with its connection counts as cut off; undefined if it is whole by the protocol. A server that ends a connection before it has read
 * the request may have stopped in the middle of its answer. A refusal as not run says all in its head.
 */
export const cutReasonOf = (connection: UpstreamConnection, head: AnswerHead | undefined): string | undefined => {
    if (connection.wasReset) {
        return "reset";
    }
    return connection.isSending && head?.decoded.isNotExecuted !== true ? "ended during the upload" : undefined;
};
