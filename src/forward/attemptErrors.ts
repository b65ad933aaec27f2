/** Code of the client's errors about a request that it does not send. */
export const invalidRequestCode = "UND_ERR_INVALID_ARG";

/** The error with which the node aborts an attempt. */
export const abortReason = new Error("attempt aborted by the node");
