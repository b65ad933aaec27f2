import type { EventId } from "../types/eventId";
import { emit } from "./events";

/** Thrown when an invariant is violated. */
export class InvariantError extends Error {
    private constructor(readonly event: EventId, detail: string) {
        super(`invariant ${event} violated: ${detail}`);
    }

    /** Creates the error for an invariant's event number. */
    static create(event: EventId, detail: string): InvariantError {
        return new InvariantError(event, detail);
    }
}

type AssertInvariant = (holds: boolean, event: EventId, detail: () => string) => asserts holds;

/** Asserts an invariant, also in production. A violation is logged and counted under its event number, and the error aborts the current operation. */
export const assertInvariant: AssertInvariant = (holds, event, detail) => {
    if (!holds) {
        const text = detail();
        emit(event, { detail: text });
        throw InvariantError.create(event, text);
    }
};
