/** Longest time of a timer: the runtime fires one with a longer time at once. */
export const maxTimerMs = 2_147_483_647;

/** Waits on the runtime's timer; resolves early, without an error, when the signal aborts. */
export const sleep = (ms: number, signal?: AbortSignal): Promise<void> =>
    new Promise(resolve => {
        if (signal?.aborted) {
            resolve();
            return;
        }
        const finish = () => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", finish);
            resolve();
        };
        const timer = setTimeout(finish, Math.min(ms, maxTimerMs));
        signal?.addEventListener("abort", finish);
    });

/** Waits until the event loop has read what had arrived before this call: the check phase of the present turn, then the whole next turn. */
export const nextTurn = async (): Promise<void> => {
    await new Promise(resolve => setImmediate(resolve));
    await new Promise(resolve => setImmediate(resolve));
};

/** A signal that aborts after a time, which may be fractional. */
export const abortAfter = (ms: number): AbortSignal => AbortSignal.timeout(Math.min(maxTimerMs, Math.max(1, Math.ceil(ms))));

/** Runs a step repeatedly, with a pause after each run, until the signal aborts. */
export const repeat = async (step: () => Promise<void>, pauseMs: () => number, signal: AbortSignal, onError: (err: unknown) => void): Promise<void> => {
    while (!signal.aborted) {
        try {
            await step();
        }
        catch (err) {
            onError(err);
        }
        await sleep(pauseMs(), signal);
    }
};

/** Returns a function that runs a step after a delay; calls during the delay share the run. */
export const coalesce = (step: () => Promise<void>, delayMs: number, signal: AbortSignal, onError: (err: unknown) => void): () => void => {
    let isScheduled = false;
    return () => {
        if (isScheduled) {
            return;
        }
        isScheduled = true;
        void sleep(delayMs, signal).then(async () => {
            isScheduled = false;
            if (!signal.aborted) {
                await step();
            }
        }).catch(onError);
    };
};
