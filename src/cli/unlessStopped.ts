import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import { startTimes } from "../utils/startTimes";
import type { ProcessSignals } from "./processSignals";
import { SignalMeaning } from "./signalMeaning";

/** Waits for a step before there is a node to stop. Undefined if a signal to stop comes first. */
export const unlessStopped = <T>(step: Promise<T>, signals: ProcessSignals): Promise<T | undefined> => {
    const stopped = new Promise<undefined>(resolve =>
        signals.handle(SignalMeaning.Stop, signal => {
            emit(EventId.SignalBeforeStart, { signal, step: startTimes.lastStep, effect: SignalMeaning.Stop });
            resolve(undefined);
        })
    );
    return Promise.race([step, stopped]);
};
