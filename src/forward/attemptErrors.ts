/** Code of the client's errors about a request that it does not send. */
export const invalidRequestCode = "UND_ERR_INVALID_ARG";

/** The error with which the node aborts an attempt. */
export const abortReason = new Error("attempt aborted by the node");

/** A server that sends more informational answers than this for one request is in trouble, and no answer follows. */
export const maxInformationalAnswers = 32;
