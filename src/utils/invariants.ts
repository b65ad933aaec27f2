import type { EventId } from "../types/eventId";
import { emit } from "./events";

/** The error of a broken invariant. */
export class InvariantError extends Error {
    private constructor(readonly event: EventId, detail: string) {
        super(`invariant ${event} is broken: ${detail}`);
    }

    /** Makes the error for an invariant's event number. */
    static create(event: EventId, detail: string): InvariantError {
        return new InvariantError(event, detail);
    }
}

type AssertInvariant = (holds: boolean, event: EventId, detail: () => string) => asserts holds;

/** Asserts an invariant; always on. A breach is logged and counted under its event number and stops the step. */
export const assertInvariant: AssertInvariant = (holds, event, detail) => {
    if (!holds) {
        const text = detail();
        emit(event, { detail: text });
        throw InvariantError.create(event, text);
    }
};
