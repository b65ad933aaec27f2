import { FailureKind } from "../types/failureKind";
import { Verdict } from "../types/verdict";
import { FailureError } from "./failures";
import { Priority } from "./recordSchemas";

/** A request that is queued until a runner can take it. */
interface QueueEntry {
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

const callerGone = (): FailureError =>
    FailureError.create({ kind: FailureKind.CallerGone, verdict: Verdict.NotRun, detail: "before the request was assigned", retryAfterMs: 1_000 });

const noCapacity = (): FailureError =>
    FailureError.create({
        kind: FailureKind.NoUpstream,
        verdict: Verdict.NotRun,
        detail: "no upstream had free capacity before the deadline",
        retryAfterMs: 1_000,
    });

/**
 * Admission queue for requests that no runner can take now. They are served by priority, then by the number of requests served for the
 * caller, fewest first, and then by deadline.
 */
export class AdmissionQueue {
    private readonly entries: QueueEntry[] = [];
    private readonly servedByCaller = new Map<string, number>();

    private constructor(private readonly capacity: number) {}

    /** Creates a queue for at most `capacity` requests. */
    static create(capacity: number): AdmissionQueue {
        return new AdmissionQueue(capacity);
    }

    /** Number of queued requests. */
    get length(): number {
        return this.entries.length;
    }

    /**
     * Assigns the request at once, or queues it until its deadline. A full queue, a caller that occupies its share of it, an expired
     * deadline or a caller that disconnects rejects it with the verdict `not-run`.
     */
    place<T>(caller: string, priority: Priority, deadlineAt: number, assign: () => T | undefined, signal: AbortSignal): Promise<T> {
        if (signal.aborted) {
            return Promise.reject(callerGone());
        }
        const immediate = this.entries.length === 0 || priority === Priority.High ? assign() : undefined;
        if (immediate !== undefined) {
            return Promise.resolve(immediate);
        }
        const queuedByCaller = this.entries.filter(entry => entry.caller === caller).length;
        if (this.entries.length >= this.capacity || queuedByCaller >= Math.max(1, this.capacity * maxCallerShare)) {
            return Promise.reject(FailureError.create({
                kind: FailureKind.QueueFull,
                verdict: Verdict.NotRun,
                detail: `${this.entries.length} requests are queued`,
                retryAfterMs: 1_000,
            }));
        }
        return new Promise<T>((resolve, reject) => {
            const entry: QueueEntry = {
                caller,
                priority,
                deadlineAt,
                tryAssign: () => {
                    const assigned = assign();
                    if (assigned === undefined) {
                        return false;
                    }
                    this.remove(entry);
                    resolve(assigned);
                    return true;
                },
                reject,
            };
            const rejectEntry = (err: FailureError) => {
                this.remove(entry);
                reject(err);
            };
            entry.timer = setTimeout(() => rejectEntry(noCapacity()), Math.max(0, deadlineAt - performance.now()));
            signal.addEventListener("abort", () => rejectEntry(callerGone()), { once: true });
            this.entries.push(entry);
            this.poll();
        });
    }

    /** Offers free capacity to the queued requests, in order. */
    poll(): void {
        const ordered = [...this.entries].sort((a, b) =>
            priorityRank[a.priority] - priorityRank[b.priority]
            || (this.servedByCaller.get(a.caller) ?? 0) - (this.servedByCaller.get(b.caller) ?? 0)
            || a.deadlineAt - b.deadlineAt
        );
        for (const entry of ordered) {
            if (entry.tryAssign()) {
                this.servedByCaller.set(entry.caller, (this.servedByCaller.get(entry.caller) ?? 0) + 1);
            }
        }
        if (this.entries.length === 0) {
            this.servedByCaller.clear();
        }
    }

    private remove(entry: QueueEntry): void {
        clearTimeout(entry.timer);
        const index = this.entries.indexOf(entry);
        if (index >= 0) {
            this.entries.splice(index, 1);
        }
    }
}
