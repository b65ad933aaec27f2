import { EventId } from "../types/eventId";
import { emit } from "../utils/events";

const checkIntervalMs = 1_000;
/** Failed checks in a row after which the node is taken to be unable to serve. */
const maxFailedChecks = 3;

/** Something that a node cannot serve without. */
export interface SelfCheckItem {
    readonly name: string;
    readonly isSound: () => boolean;
}

/** Checks now and then whether a node can still serve; calls `onUnable` once if it cannot. Returns a function that ends the checks. */
export const startSelfCheck = (items: readonly SelfCheckItem[], onUnable: () => void): () => void => {
    let failedChecks = 0;
    const timer = setInterval(() => {
        const failed = items.filter(({ isSound }) => !isSound()).map(({ name }) => name);
        failedChecks = failed.length === 0 ? 0 : failedChecks + 1;
        if (failedChecks >= maxFailedChecks) {
            clearInterval(timer);
            emit(EventId.NodeUnableToServe, { failed });
            onUnable();
        }
    }, checkIntervalMs);
    timer.unref();
    return () => clearInterval(timer);
};
