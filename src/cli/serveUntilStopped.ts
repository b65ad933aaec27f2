import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import { StartStep, startTimes } from "../utils/startTimes";
import { nextTurn, sleep } from "../utils/time";
import { describeError, errorCodeOf } from "../utils/transport";
import { ExitCode } from "./exitCode";
import { logFlushMs } from "./logFlushMs";
import type { ProcessSignals } from "./processSignals";
import { SignalMeaning } from "./signalMeaning";

/** A node as the commands run it. The numbers are those of requests cut off. */
export interface ServedNode {
    /** Starts the node; `onUnable` is called if it can no longer serve. */
    start(onUnable: () => void): Promise<void>;
    /** Stops gracefully, also while the node starts or before that. */
    stop(): Promise<number>;
    /** Stops at once; if it is missing, requests to stop after the first one change nothing. */
    terminate?(): number;
}

/** Runs a node until a signal stops it, also while it starts, or until it can no longer serve. Returns the exit code. */
export const serveUntilStopped = (node: ServedNode, signals: ProcessSignals): Promise<ExitCode> =>
    new Promise(resolve => {
        let isStopping = false;
        const end = (cutOffCount: number, code: ExitCode): void => resolve(cutOffCount > 0 ? ExitCode.RequestsAborted : code);
        const fail = (): void => void sleep(logFlushMs).then(() => resolve(ExitCode.Failed));
        const stop = (code: ExitCode): void => {
            if (isStopping) {
                if (node.terminate) {
                    end(node.terminate(), code);
                }
                return;
            }
            isStopping = true;
            node.stop().then(cutOffCount => end(cutOffCount, code), (err: unknown) => {
                emit(EventId.UnexpectedError, { origin: "stop", detail: describeError(err) });
                fail();
            });
        };
        const start = async (): Promise<void> => {
            // A signal that arrived while the program was loaded stops the node before it opens a listener.
            await nextTurn();
            if (!isStopping) {
                await node.start(() => stop(ExitCode.Failed));
            }
        };
        signals.handle(SignalMeaning.None, signal => emit(EventId.SignalIgnored, { signal }));
        signals.handle(SignalMeaning.Stop, signal => {
            if (startTimes.lastStep !== StartStep.Started) {
                emit(EventId.SignalBeforeStart, { signal, step: startTimes.lastStep, effect: SignalMeaning.Stop });
            }
            stop(ExitCode.Ok);
        });
        start().catch((err: unknown) => {
            emit(EventId.NodeStartFailed, { detail: err instanceof Error ? err.message : errorCodeOf(err) });
            if (!isStopping) {
                fail();
            }
        });
    });
