import { getOrCreate } from "../utils/maps";

/** Requests that wait for a service, in the order of their arrival. */
export class WaitingRequests {
    private readonly byService = new Map<string, Map<object, number>>();

    private constructor() {}

    /** Creates an empty list. */
    static create(): WaitingRequests {
        return new WaitingRequests();
    }

    /** Number of requests that wait. */
    get size(): number {
        return [...this.byService.values()].reduce((sum, requests) => sum + requests.size, 0);
    }

    /** Number of requests that began to wait before a request and may still do so. */
    countAhead(service: string, req: object): number {
        const requests = this.byService.get(service);
        return requests ? Math.min(requests.get(req) ?? requests.size, requests.size) : 0;
    }

    /** Whether a request waits. */
    has(service: string, req: object): boolean {
        return this.byService.get(service)?.has(req) ?? false;
    }

    /** Adds a request unless it waits already. */
    add(service: string, req: object): void {
        const requests = getOrCreate(this.byService, service, () => new Map<object, number>());
        requests.set(req, requests.get(req) ?? requests.size);
    }

    /** Removes a request that no longer waits. */
    remove(service: string, req: object): void {
        const requests = this.byService.get(service);
        requests?.delete(req);
        if (requests?.size === 0) {
            this.byService.delete(service);
        }
    }
}
