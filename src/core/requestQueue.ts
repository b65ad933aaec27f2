import { getOrCreate } from "../utils/maps";

/** A request that is queued until a runner with its model has free capacity. Times are on the monotonic clock. */
export interface QueuedRequest {
    /** When the first token is due under the route's latency objective. */
    readonly firstTokenDueAt: number;
    /** Priority of its customer and route; 0 is served first. */
    readonly priority: number;
    /** Work that its customer had lately; among requests of one priority the one with less is served first. */
    readonly customerWork?: number;
}

/** Least possible time to the first token: a request whose first token is due sooner can no longer meet its objective. */
const minFirstTokenMs = 60;

/** Whether `a` is served before `b`: requests that can still meet their objective first, then by priority, by their customer's recent work, and by due time. */
export const isServedBefore = (a: QueuedRequest, b: QueuedRequest, now: number): boolean => {
    const aIsLate = a.firstTokenDueAt - now < minFirstTokenMs;
    const bIsLate = b.firstTokenDueAt - now < minFirstTokenMs;
    if (aIsLate !== bIsLate) {
        return bIsLate;
    }
    if (a.priority !== b.priority) {
        return a.priority < b.priority;
    }
    const { customerWork: aWork = 0 } = a;
    const { customerWork: bWork = 0 } = b;
    return aWork === bWork ? a.firstTokenDueAt < b.firstTokenDueAt : aWork < bWork;
};

/**
 * The requests of one node that are queued for runners, by model. At a burst of requests for a model that has just been
 * loaded, or that has too few copies, requests that are late already do not delay those that can still meet their objective.
 */
export class RequestQueue {
    private readonly byModel = new Map<string, Set<QueuedRequest>>();

    private constructor(private readonly now: () => number) {}

    /** Creates an empty queue. */
    static create(now: () => number = () => performance.now()): RequestQueue {
        return new RequestQueue(now);
    }

    /** Queues a request for a model. */
    add(model: string, request: QueuedRequest): void {
        getOrCreate(this.byModel, model, () => new Set<QueuedRequest>()).add(request);
    }

    /** Removes a request from its model's queue. */
    remove(model: string, request: QueuedRequest): void {
        const requests = this.byModel.get(model);
        requests?.delete(request);
        if (requests?.size === 0) {
            this.byModel.delete(model);
        }
    }

    /** Number of queued requests for a model that are served before this one. */
    countAhead(model: string, request: QueuedRequest): number {
        const now = this.now();
        let count = 0;
        this.byModel.get(model)?.forEach(other => count += other !== request && isServedBefore(other, request, now) ? 1 : 0);
        return count;
    }
}
