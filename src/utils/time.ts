/** Waits on the runtime's clock; ends early, without an error, when the signal aborts. */
export const sleep = (ms: number, signal?: AbortSignal): Promise<void> =>
    new Promise(resolve => {
        if (signal?.aborted) {
            resolve();
            return;
        }
        const done = () => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", done);
            resolve();
        };
        const timer = setTimeout(done, ms);
        signal?.addEventListener("abort", done);
    });

/** Runs a step again and again with a pause between two runs, until the signal aborts. */
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
