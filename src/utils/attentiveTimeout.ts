/** Parts of a timeout: what has arrived is read between two of them, and a turn of the event loop that takes long counts as one. */
const parts = 6;

/** Calls back once a time has passed in which this process could read what had arrived: its own lateness is nobody's silence. Returns what cancels it. */
export const startAttentiveTimeout = (ms: number, onTimeout: () => void): () => void => {
    let left = parts;
    let timer: ReturnType<typeof setTimeout>;
    const wait = (): void => {
        timer = setTimeout(() => {
            left--;
            if (left > 0) {
                wait();
            }
            else {
                onTimeout();
            }
        }, ms / parts);
    };
    wait();
    return () => clearTimeout(timer);
};
