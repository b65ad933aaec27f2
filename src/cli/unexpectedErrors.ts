import { ErrorLogLimiter } from "../core/errorLogLimiter";
import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import { describeError } from "../utils/transport";

/**
 * Logs errors that no handler caught instead of ending the process, however many there are: one that repeats with each message, row or probe would end it again
 * after each start. A node that can no longer serve finds that out by its own check.
 */
export const surviveUnexpectedErrors = (): ErrorLogLimiter => {
    const errors = ErrorLogLimiter.create();
    const onError = (err: unknown, origin: string): void => {
        const suppressed = errors.record(err);
        if (suppressed !== undefined) {
            emit(EventId.UnexpectedError, { origin, detail: describeError(err), suppressed, total: errors.total });
        }
    };
    process.on("uncaughtException", onError);
    process.on("unhandledRejection", reason => onError(reason, "unhandledRejection"));
    return errors;
};
