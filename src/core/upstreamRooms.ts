import type { Permit, PlaceReport, PlaceRequest } from "../types/sendPermit";
import { getOrCreate } from "../utils/maps";
import type { QueuedRequest } from "./requestQueue";
import { isServedBefore } from "./requestQueue";
import { RunnerRoom } from "./runnerRoom";

/** Interval at which queued requests are looked at: places expire, and room rises, without a call. */
const drainIntervalMs = 25;
/** Longest time for which a request is queued by one call. */
const maxQueueMs = 400;
/** Requests that are queued for one upstream at most. */
const maxQueued = 1_024;
/** Beyond this number of upstreams, those of which nothing is known are forgotten. */
const maxRooms = 4_096;

interface Waiter extends QueuedRequest {
    readonly place: PlaceRequest;
    readonly endsAt: number;
    readonly resolve: (permit: Permit) => void;
}

interface QueuedRoom {
    readonly room: RunnerRoom;
    waiters: Waiter[];
    timer: NodeJS.Timeout | undefined;
}

/** Hands out the places of brittle upstreams for all nodes, to those first that lose most by waiting. */
export class UpstreamRooms {
    private readonly rooms = new Map<string, QueuedRoom>();

    private constructor() {}

    static create(): UpstreamRooms {
        return new UpstreamRooms();
    }

    /** Number of upstreams of which something is known. */
    get size(): number {
        return this.rooms.size;
    }

    /** Takes a place of an upstream, waiting for it as long as the request allows. */
    take(runner: string, place: PlaceRequest): Promise<Permit> {
        const queued = this.roomOf(runner);
        queued.room.setUnplaced(place.node, place.unplaced);
        return new Promise(resolve => {
            const now = performance.now();
            const endsAt = now + Math.min(maxQueueMs, queued.waiters.length < maxQueued ? place.maxQueueMs : 0);
            queued.waiters.push({ place, endsAt, resolve, firstTokenDueAt: now + place.dueInMs, priority: place.priority });
            this.drain(queued);
        });
    }

    /** Records the places that a node gives back, and its requests in progress without one. */
    report({ node, returned, unplaced }: PlaceReport): void {
        const changed = new Set<QueuedRoom>();
        for (const { runner, count } of unplaced) {
            const queued = this.roomOf(runner);
            queued.room.setUnplaced(node, count);
            changed.add(queued);
        }
        for (const { runner, id, isRejected } of returned) {
            const queued = this.roomOf(runner);
            if (id !== undefined) {
                queued.room.giveBack(id);
            }
            if (isRejected) {
                queued.room.onRejected();
            }
            changed.add(queued);
        }
        changed.forEach(queued => this.drain(queued));
    }

    private roomOf(runner: string): QueuedRoom {
        if (this.rooms.size >= maxRooms && !this.rooms.has(runner)) {
            this.rooms.forEach(({ room, waiters }, key) => waiters.length === 0 && room.isIdle && this.rooms.delete(key));
        }
        return getOrCreate(this.rooms, runner, (): QueuedRoom => ({ room: RunnerRoom.create(), waiters: [], timer: undefined }));
    }

    /** Gives free places to queued requests, and ends the wait of those whose time is over. */
    private drain(queued: QueuedRoom): void {
        const now = performance.now();
        const { room } = queued;
        queued.waiters.sort((a, b) => isServedBefore(a, b, now) ? -1 : isServedBefore(b, a, now) ? 1 : 0);
        while (queued.waiters.length > 0) {
            const { place, resolve } = queued.waiters[0]!;
            if (!room.take(place.id, place.holdMs, place)) {
                break;
            }
            queued.waiters.shift();
            resolve({ isGranted: true, waitMs: 0 });
        }
        queued.waiters = queued.waiters.filter(({ place, endsAt, resolve }, ahead) => {
            if (endsAt > now) {
                return true;
            }
            resolve({ isGranted: false, waitMs: room.expectedWaitMs(place, ahead), isFull: true });
            return false;
        });
        clearTimeout(queued.timer);
        queued.timer = queued.waiters.length > 0 ? setTimeout(() => this.drain(queued), drainIntervalMs) : undefined;
    }
}
