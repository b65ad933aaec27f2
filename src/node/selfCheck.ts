import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import { errorCodeOf } from "../utils/transport";

const checkIntervalMs = 1_000;
/** Failed checks in a row after which the node is taken to be unable to serve. */
const maxFailedChecks = 3;

/** Something that a node needs. */
export interface SelfCheckItem {
    readonly name: string;
    readonly isSound: () => boolean;
    /** Tries to mend it for as long as that can succeed; throws if it cannot while the process lives. */
    readonly mend?: () => Promise<unknown>;
    /** Whether the node serves without it. */
    readonly isOptional?: boolean;
}

/** Checks now and then whether a node can still serve; calls `onUnable` once if it cannot and that cannot be mended. Returns a function that ends the checks. */
export const startSelfCheck = (items: readonly SelfCheckItem[], onUnable: () => void): () => void => {
    let failedChecks = 0;
    const beingMended = new Set<SelfCheckItem>();
    const mend = async (item: SelfCheckItem): Promise<void> => {
        beingMended.add(item);
        emit(EventId.ListenerLost, { listener: item.name });
        try {
            await item.mend?.();
        }
        catch (err) {
            emit(EventId.ListenerLost, { listener: item.name, detail: errorCodeOf(err) });
        }
        beingMended.delete(item);
    };
    const timer = setInterval(() => {
        const failed = items.filter(item => !item.isSound() && !beingMended.has(item));
        failedChecks = failed.every(item => item.isOptional) ? 0 : failedChecks + 1;
        if (failedChecks >= maxFailedChecks) {
            clearInterval(timer);
            emit(EventId.NodeUnableToServe, { failed: failed.map(({ name }) => name) });
            onUnable();
            return;
        }
        failed.filter(item => item.mend).forEach(item => void mend(item));
    }, checkIntervalMs);
    timer.unref();
    return () => clearInterval(timer);
};
