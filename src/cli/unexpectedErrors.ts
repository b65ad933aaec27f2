import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import { errorCodeOf } from "../utils/transport";

/** A process with more unexpected errors than this within the window is ended, so that the platform starts it anew. */
const maxErrors = 20;
const windowMs = 10_000;
/** Log lines are written in batches; the last batch is written within this time. */
const logFlushMs = 100;
const failedExitCode = 1;

/**
 * Logs errors that no handler caught instead of ending the process: one malformed message must not end the other requests of a node. Errors in
 * quick succession are a sign of broken state and still end it.
 */
export const surviveUnexpectedErrors = (): void => {
    let errorTimes: number[] = [];
    const onError = (err: unknown, origin: string): void => {
        const now = performance.now();
        errorTimes = [...errorTimes.filter(at => now - at < windowMs), now];
        const isEnding = errorTimes.length > maxErrors;
        emit(EventId.UnexpectedError, { origin, detail: err instanceof Error ? err.stack : errorCodeOf(err), ending: isEnding });
        if (isEnding) {
            setTimeout(() => process.exit(failedExitCode), logFlushMs);
        }
    };
    process.on("uncaughtException", onError);
    process.on("unhandledRejection", reason => onError(reason, "unhandledRejection"));
};
