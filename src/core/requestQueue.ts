import { getOrCreate } from "../utils/maps";

/** A request that waits until a runner of its model has room. Times are on the monotonic clock. */
export interface QueuedRequest {
    /** When the first token must come to meet the latency objective. */
    readonly firstTokenDueAt: number;
    /** Rank of its route; 0 comes first. */
    readonly priority: number;
}

/** Least time to the first token: a request whose objective is nearer than this cannot meet it any more. */
const leastFirstTokenMs = 60;

/** Whether one waiter goes before another: those that can meet their objective first, then by rank, then by age. */
const goesBefore = (a: QueuedRequest, b: QueuedRequest, now: number): boolean => {
    const aIsLate = a.firstTokenDueAt - now < leastFirstTokenMs;
    const bIsLate = b.firstTokenDueAt - now < leastFirstTokenMs;
    if (aIsLate !== bIsLate) {
        return bIsLate;
    }
    return a.priority === b.priority ? a.firstTokenDueAt < b.firstTokenDueAt : a.priority < b.priority;
};

/**
 * The requests of one node that wait for runners, by model. Answers floods at a model that has just been loaded, or that
 * has too few copies: requests that are late already do not delay those that can still be on time.
 */
export class RequestQueue {
    private readonly byModel = new Map<string, Set<QueuedRequest>>();

    private constructor(private readonly now: () => number) {}

    /** Makes an empty queue. */
    static create(now: () => number = () => performance.now()): RequestQueue {
        return new RequestQueue(now);
    }

    /** Lets a request wait for a model. */
    add(model: string, waiter: QueuedRequest): void {
        getOrCreate(this.byModel, model, () => new Set<QueuedRequest>()).add(waiter);
    }

    /** Ends a request's wait. */
    remove(model: string, waiter: QueuedRequest): void {
        const waiters = this.byModel.get(model);
        waiters?.delete(waiter);
        if (waiters?.size === 0) {
            this.byModel.delete(model);
        }
    }

    /** Requests for a model that go before a waiter. */
    countAhead(model: string, waiter: QueuedRequest): number {
        const now = this.now();
        let count = 0;
        this.byModel.get(model)?.forEach(other => count += other !== waiter && goesBefore(other, waiter, now) ? 1 : 0);
        return count;
    }
}
