import { EventId } from "../types/eventId";
import { emit } from "../utils/events";

/** Statuses outside these are no answer. The client passes them on, and takes one below the first for an informational answer that ends, which fails an assertion. */
const minStatus = 100;
const maxStatus = 599;

/** Whether what was answered to a request has no valid status and therefore counts as no answer; logs it if so. */
export const isInvalidStatus = (status: number, request: string, address: string): boolean => {
    const isInvalid = status < minStatus || status > maxStatus;
    if (isInvalid) {
        emit(EventId.AnswerInvalid, { request, address, status });
    }
    return isInvalid;
};
