import { FailureKind } from "../types/failureKind";
import { Verdict } from "../types/verdict";
import { FailureError } from "./failures";
import { Priority } from "./recordSchemas";

/** A request that is queued until a runner can take it. */
interface Waiter {
    readonly caller: string;
    readonly priority: Priority;
    readonly deadlineAt: number;
    /** Tries to assign the request to a runner; returns whether one took it. */
    readonly tryAssign: () => boolean;
    readonly reject: (err: Error) => void;
    timer?: NodeJS.Timeout;
}

const priorityRank: Readonly<Record<Priority, number>> = { [Priority.High]: 0, [Priority.Normal]: 1, [Priority.Low]: 2 };
/** Share of the queue that one caller may occupy. */
const maxCallerShare = 0.5;

/**
 * Admission queue for requests that no runner can take now. They are served by priority, then by the number of requests served for the
 * caller, fewest first, and then by deadline.
 */
export class AdmissionQueue {
    private readonly waiters: Waiter[] = [];
    private readonly servedByCaller = new Map<string, number>();

    private constructor(private readonly capacity: number) {}

    /** Creates a queue for at most `capacity` requests. */
    static create(capacity: number): AdmissionQueue {
        return new AdmissionQueue(capacity);
    }

    /** Number of queued requests. */
    get length(): number {
        return this.waiters.length;
    }

    /**
     * Assigns the request at once, or queues it until its deadline. A full queue, an expired deadline or a caller that disconnects rejects it with
     * the verdict `not-run`.
     */
    place<T>(caller: string, priority: Priority, deadlineAt: number, assign: () => T | undefined, signal: AbortSignal): Promise<T> {
        const immediate = this.waiters.length === 0 || priority === Priority.High ? assign() : undefined;
        if (immediate !== undefined) {
            return Promise.resolve(immediate);
        }
        const queuedByCaller = this.waiters.filter(waiter => waiter.caller === caller).length;
        if (this.waiters.length >= this.capacity || queuedByCaller >= Math.max(1, this.capacity * maxCallerShare)) {
            return Promise.reject(FailureError.create({
                kind: FailureKind.QueueFull,
                verdict: Verdict.NotRun,
                detail: `${this.waiters.length} requests are queued`,
                retryAfterMs: 1_000,
            }));
        }
        return new Promise<T>((resolve, reject) => {
            const waiter: Waiter = {
                caller,
                priority,
                deadlineAt,
                tryAssign: () => {
                    const assigned = assign();
                    if (assigned === undefined) {
                        return false;
                    }
                    this.remove(waiter);
                    resolve(assigned);
                    return true;
                },
                reject,
            };
            const rejectWaiter = (kind: FailureKind, detail: string) => {
                this.remove(waiter);
                reject(FailureError.create({ kind, verdict: Verdict.NotRun, detail, retryAfterMs: 1_000 }));
            };
            waiter.timer = setTimeout(
                () => rejectWaiter(FailureKind.NoUpstream, "no upstream had free capacity before the deadline"),
                Math.max(0, deadlineAt - performance.now()),
            );
            signal.addEventListener("abort", () => rejectWaiter(FailureKind.CallerGone, "while the request was queued"), { once: true });
            this.waiters.push(waiter);
            this.poll();
        });
    }

    /** Offers free capacity to the queued requests, in order. */
    poll(): void {
        const ordered = [...this.waiters].sort((a, b) =>
            priorityRank[a.priority] - priorityRank[b.priority]
            || (this.servedByCaller.get(a.caller) ?? 0) - (this.servedByCaller.get(b.caller) ?? 0)
            || a.deadlineAt - b.deadlineAt
        );
        for (const waiter of ordered) {
            if (waiter.tryAssign()) {
                this.servedByCaller.set(waiter.caller, (this.servedByCaller.get(waiter.caller) ?? 0) + 1);
            }
        }
        if (this.waiters.length === 0) {
            this.servedByCaller.clear();
        }
    }

    private remove(waiter: Waiter): void {
        clearTimeout(waiter.timer);
        const index = this.waiters.indexOf(waiter);
        if (index >= 0) {
            this.waiters.splice(index, 1);
        }
    }
}
