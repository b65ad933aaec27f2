/** Share of the heap's limit that callers' requests may hold; the rest is for state, idle connections and what has not been collected yet. */
const requestShare = 0.5;
/** Part of that up to which a request is taken that its caller sent far ahead, behind others on its connection. */
const aheadShare = 0.5;
/** Charge for a request and its connections, without its head. */
const requestBytes = 36_864;
/** Charge for a header, beside its text. */
export const headerHeapBytes = 160;
/** Bounds of the delay after which a refused caller may come again. */
const minRetryAfterMs = 500;
const maxRetryAfterMs = 1_500;

/** Why a request gets no heap. */
export interface HeapDenial {
    readonly isGranted: false;
    readonly retryAfterMs: number;
    /** State of the budget, for the log. */
    readonly memory: { readonly askedBytes: number; readonly usedBytes: number; readonly limitBytes: number; };
}

/** Heap that a request may hold. */
export interface HeapGrant {
    readonly isGranted: true;
    /** Gives it back; further calls have no effect. */
    release(): void;
}

/** Dependencies of a budget. */
export interface RequestHeapOptions {
    /** Size of the heap at which the runtime ends the process. */
    readonly heapLimitBytes: () => number;
    readonly random: () => number;
}

/** Heap that callers' requests hold from the time that their heads have been read, whatever they wait for. */
export class RequestHeap {
    private used = 0;

    private constructor(private readonly options: RequestHeapOptions) {}

    static create(options: RequestHeapOptions): RequestHeap {
        return new RequestHeap(options);
    }

    get usedBytes(): number {
        return this.used;
    }

    get limitBytes(): number {
        return requestShare * this.options.heapLimitBytes();
    }

    /** Heap for a request, by its headers, names and values alternating; `isFarAhead` if many others of its connection are unanswered. */
    request(rawHeaders: readonly string[], isFarAhead = false): HeapGrant | HeapDenial {
        const textBytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
        const askedBytes = requestBytes + textBytes + headerHeapBytes * rawHeaders.length / 2;
        if (this.used + askedBytes > this.limitBytes * (isFarAhead ? aheadShare : 1)) {
            const retryAfterMs = minRetryAfterMs + (maxRetryAfterMs - minRetryAfterMs) * this.options.random();
            return { isGranted: false, retryAfterMs, memory: { askedBytes, usedBytes: this.used, limitBytes: this.limitBytes } };
        }
        let held = askedBytes;
        this.used += held;
        const release = (): void => {
            this.used -= held;
            held = 0;
        };
        return { isGranted: true, release };
    }
}
