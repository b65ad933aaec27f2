import { FailureKind } from "../types/failureKind";
import { Verdict } from "../types/verdict";
import { FailureError } from "./failures";
import { Priority } from "./recordSchemas";

/** A request that waits for an upstream. */
interface Waiter {
    readonly caller: string;
    readonly priority: Priority;
    readonly deadlineAt: number;
    /** Tries to place the request; true when an upstream took it. */
    readonly attempt: () => boolean;
    readonly reject: (err: Error) => void;
    timer?: NodeJS.Timeout;
}

const rankOf: Readonly<Record<Priority, number>> = { [Priority.High]: 0, [Priority.Normal]: 1, [Priority.Low]: 2 };
/** Share of the queue that one caller may hold. */
const callerShare = 0.5;

/** Requests that no upstream can take now, served by priority, fair share of the caller, and deadline. */
export class AdmissionQueue {
    private readonly waiters: Waiter[] = [];
    private readonly served = new Map<string, number>();

    private constructor(private readonly capacity: number) {}

    /** Makes a queue for at most `capacity` requests. */
    static create(capacity: number): AdmissionQueue {
        return new AdmissionQueue(capacity);
    }

    /** Number of requests that wait. */
    get length(): number {
        return this.waiters.length;
    }

    /** Places the request at once or waits until its deadline; rejects as not run. */
    place<T>(caller: string, priority: Priority, deadlineAt: number, tryPlace: () => T | undefined, signal: AbortSignal): Promise<T> {
        const first = this.waiters.length === 0 || priority === Priority.High ? tryPlace() : undefined;
        if (first !== undefined) {
            return Promise.resolve(first);
        }
        const held = this.waiters.filter(waiter => waiter.caller === caller).length;
        if (this.waiters.length >= this.capacity || held >= Math.max(1, this.capacity * callerShare)) {
            return Promise.reject(FailureError.create({
                kind: FailureKind.QueueFull,
                verdict: Verdict.NotRun,
                detail: `${this.waiters.length} requests wait`,
                retryAfterMs: 1_000,
            }));
        }
        return new Promise<T>((resolve, reject) => {
            const waiter: Waiter = {
                caller,
                priority,
                deadlineAt,
                attempt: () => {
                    const placed = tryPlace();
                    if (placed === undefined) {
                        return false;
                    }
                    this.remove(waiter);
                    resolve(placed);
                    return true;
                },
                reject,
            };
            const giveUp = (kind: FailureKind, detail: string) => {
                this.remove(waiter);
                reject(FailureError.create({ kind, verdict: Verdict.NotRun, detail, retryAfterMs: 1_000 }));
            };
            waiter.timer = setTimeout(
                () => giveUp(FailureKind.NoUpstream, "no upstream had room before the deadline"),
                Math.max(0, deadlineAt - performance.now()),
            );
            signal.addEventListener("abort", () => giveUp(FailureKind.CallerGone, "while the request waited"), { once: true });
            this.waiters.push(waiter);
            this.poll();
        });
    }

    /** Offers free room to the waiting requests, in order. */
    poll(): void {
        const order = [...this.waiters].sort((a, b) =>
            rankOf[a.priority] - rankOf[b.priority]
            || (this.served.get(a.caller) ?? 0) - (this.served.get(b.caller) ?? 0)
            || a.deadlineAt - b.deadlineAt
        );
        for (const waiter of order) {
            if (waiter.attempt()) {
                this.served.set(waiter.caller, (this.served.get(waiter.caller) ?? 0) + 1);
            }
        }
        if (this.waiters.length === 0) {
            this.served.clear();
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
