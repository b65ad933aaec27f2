import { MemoryHolder } from "../types/memoryHolder";
import { ReleaseRate } from "./releaseRate";

/** Share of the budget that bodies of requests may take; the rest remains for the answers to those that were accepted. */
const bodyShare = 0.6;
/** Further share for small bodies alone, so that they go on beside large ones. */
const smallBodyShare = 0.1;
/** Largest body that counts as small. */
export const maxSmallBodyBytes = 65_536;
/** Charge for a body that waits: what the runtime and the kernel have read ahead of it. */
export const waitingBodyBytes = 131_072;
/** Share of the budget up to which large bodies may wait: without a bound, they would take the part of the small ones. */
const waitingShare = 0.1;
/** Bounds of the delay after which a refused caller may come again. */
const minRetryAfterMs = 500;
const maxRetryAfterMs = 30_000;

/** Interval at which waiting bodies are tried again: the limit may rise although nothing is released. */
const retryIntervalMs = 50;

/** Memory that a body may use. */
export interface BodyGrant {
    readonly isGranted: true;
    /** Gives back what the body does not need. */
    shrinkTo(bytes: number): void;
    /** Gives everything back; further calls have no effect. */
    release(): void;
}

/** Why a body gets no memory. */
export interface BodyDenial {
    readonly isGranted: false;
    readonly retryAfterMs: number;
    /** State of the budget, for the log. */
    readonly memory: {
        readonly askedBytes: number;
        readonly usedBytes: number;
        readonly limitBytes: number;
        readonly usedByHolder: Readonly<Record<string, number>>;
    };
}

/** A body that waits for memory. */
interface Waiter {
    readonly bytes: number;
    settle(result: BodyGrant | BodyDenial): void;
}

/** Dependencies of a budget. */
export interface MemoryBudgetOptions {
    /** Bytes that all holders together may use now. */
    readonly limitBytes: () => number;
    readonly random: () => number;
    readonly now?: () => number;
}

/**
 * Memory that one process uses for its callers and upstreams, shared by all holders. Bodies are granted memory before they are read: in order of arrival, small ones
 * beside large ones. One that cannot be granted any in time is refused at once.
 */
export class MemoryBudget {
    private readonly used = new Map<MemoryHolder, number>();
    private readonly small: Waiter[] = [];
    private readonly large: Waiter[] = [];
    private readonly rate: ReleaseRate;
    private readonly now: () => number;
    private retryTimer: NodeJS.Timeout | undefined;
    /** Until when the memory that becomes free is meant for callers that were refused, on the monotonic clock. */
    private promisedUntil = 0;

    private constructor(private readonly options: MemoryBudgetOptions) {
        this.now = options.now ?? (() => performance.now());
        this.rate = ReleaseRate.create(() => bodyShare * this.limitBytes, this.now);
    }

    static create(options: MemoryBudgetOptions): MemoryBudget {
        return new MemoryBudget(options);
    }

    get limitBytes(): number {
        return this.options.limitBytes();
    }

    /** Bytes that all holders use together. */
    get usedBytes(): number {
        return [...this.used.values()].reduce((sum, bytes) => sum + bytes, 0);
    }

    /** Bytes that each holder uses, for the log. */
    get usedByHolder(): Readonly<Record<string, number>> {
        return Object.fromEntries(this.used);
    }

    usedBy(holder: MemoryHolder): number {
        return this.used.get(holder) ?? 0;
    }

    /** Number of bodies that wait. */
    get waiting(): number {
        return this.small.length + this.large.length;
    }

    /** Bytes that answers may use, given what the others do; never less than the part that bodies leave them. */
    get answerLimitBytes(): number {
        const { limitBytes } = this;
        const others = this.usedBytes - this.usedBy(MemoryHolder.Answers);
        // Answers together may use twice their limit.
        return Math.max((1 - bodyShare - smallBodyShare) * limitBytes, limitBytes - others) / 2;
    }

    /** Bytes that events which slow readers have not taken may use: what bodies leave, as far as the other holders do not use it. */
    get untakenLimitBytes(): number {
        const { limitBytes } = this;
        const others = this.usedBytes - this.usedBy(MemoryHolder.UntakenEvents);
        return Math.max(0, Math.min((1 - bodyShare - smallBodyShare) * limitBytes, limitBytes - others));
    }

    /** Counts bytes that cannot be refused, or gives them back if negative. */
    charge(holder: MemoryHolder, bytes: number): void {
        this.add(holder, bytes);
        if (bytes < 0) {
            this.grantWaiting();
        }
    }

    /** Memory for a body, after at most `waitMs`; a caller that leaves meanwhile gives up its place. */
    requestBody(bytes: number, waitMs: number, signal: AbortSignal): Promise<BodyGrant | BodyDenial> {
        const queue = bytes <= maxSmallBodyBytes ? this.small : this.large;
        if (queue.length === 0 && this.fits(bytes)) {
            return Promise.resolve(this.grant(bytes));
        }
        const mayWait = queue === this.small || this.usedBy(MemoryHolder.UnreadBodies) + waitingBodyBytes <= this.waitingLimitBytes;
        if (!mayWait || this.isTooLarge(bytes) || this.expectedWaitMs(queue, bytes) > waitMs || signal.aborted) {
            return Promise.resolve(this.deny(bytes));
        }
        return new Promise(resolve => {
            const giveUp = (): void => {
                queue.splice(queue.indexOf(waiter), 1);
                waiter.settle(this.deny(bytes, !signal.aborted));
                this.grantWaiting();
            };
            const timer = setTimeout(giveUp, waitMs);
            const waiter: Waiter = {
                bytes,
                settle: result => {
                    clearTimeout(timer);
                    signal.removeEventListener("abort", giveUp);
                    this.add(MemoryHolder.UnreadBodies, -waitingBodyBytes);
                    this.stopRetrying();
                    resolve(result);
                },
            };
            signal.addEventListener("abort", giveUp, { once: true });
            this.add(MemoryHolder.UnreadBodies, waitingBodyBytes);
            queue.push(waiter);
            this.retryTimer ??= setInterval(() => this.grantWaiting(), retryIntervalMs);
        });
    }

    private stopRetrying(): void {
        if (this.waiting === 0) {
            clearInterval(this.retryTimer);
            this.retryTimer = undefined;
        }
    }

    /** Lets waiting bodies in as far as the memory allows. */
    grantWaiting(): void {
        for (const queue of [this.small, this.large]) {
            while (queue.length > 0 && this.fits(queue[0]!.bytes)) {
                const waiter = queue.shift()!;
                waiter.settle(this.grant(waiter.bytes));
            }
        }
    }

    private add(holder: MemoryHolder, bytes: number): void {
        this.used.set(holder, this.usedBy(holder) + bytes);
    }

    /** Bytes up to which large bodies may wait; one always may. */
    private get waitingLimitBytes(): number {
        return Math.max(waitingBodyBytes, waitingShare * this.limitBytes);
    }

    /** Bytes up to which all holders may be filled by a body of this size. Bodies that wait do not delay a small one. */
    private ceilingOf(bytes: number): number {
        return bytes <= maxSmallBodyBytes
            ? this.limitBytes * (bodyShare + smallBodyShare) + this.usedBy(MemoryHolder.UnreadBodies)
            : this.limitBytes * bodyShare;
    }

    private isTooLarge(bytes: number): boolean {
        return bytes > this.ceilingOf(bytes) && this.usedBy(MemoryHolder.Bodies) > 0;
    }

    /** Whether a body may be read now. One body alone always may, or a limit that sank below its size would stop all. */
    private fits(bytes: number): boolean {
        return this.usedBytes + bytes <= this.ceilingOf(bytes) || this.usedBy(MemoryHolder.Bodies) === 0;
    }

    private expectedWaitMs(queue: readonly Waiter[], bytes: number): number {
        const wanted = queue.reduce((sum, waiter) => sum + waiter.bytes, bytes);
        return Math.max(0, this.usedBytes + wanted - this.ceilingOf(bytes)) / this.rate.bytesPerMs;
    }

    private grant(bytes: number): BodyGrant {
        let held = bytes;
        this.add(MemoryHolder.Bodies, bytes);
        const shrinkTo = (target: number): void => {
            const freed = Math.max(0, held - target);
            held -= freed;
            if (freed > 0) {
                this.rate.count(freed);
                this.charge(MemoryHolder.Bodies, -freed);
            }
        };
        return { isGranted: true, shrinkTo, release: () => shrinkTo(0) };
    }

    /** Refuses a body. Callers that are refused one after the other are told to come again one after the other. */
    private deny(bytes: number, mayComeAgain = true): BodyDenial {
        const now = this.now();
        const { bytesPerMs } = this.rate;
        const isFreeAt = Math.max(now + this.expectedWaitMs(this.large, bytes), this.promisedUntil);
        if (mayComeAgain) {
            this.promisedUntil = Math.min(now + maxRetryAfterMs, isFreeAt + bytes / bytesPerMs);
        }
        const delayMs = (isFreeAt - now) * (0.75 + this.options.random() / 2);
        return {
            isGranted: false,
            retryAfterMs: Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, delayMs)),
            memory: {
                askedBytes: bytes,
                usedBytes: this.usedBytes,
                limitBytes: Math.round(this.limitBytes),
                usedByHolder: this.usedByHolder,
            },
        };
    }
}
