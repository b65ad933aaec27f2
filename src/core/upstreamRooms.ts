import { EventId } from "../types/eventId";
import type { Permit, PlaceReport, PlaceRequest } from "../types/sendPermit";
import { PlaceLack } from "../types/sendPermit";
import { emit } from "../utils/events";
import { getOrCreate } from "../utils/maps";
import { CustomerWork } from "./customerWork";
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

/** Interval at which a runner without room is logged. */
const logIntervalMs = 1_000;
/** Whose work a request is: what a customer sends in one class takes nothing from its share of another one. */
const workKeyOf = ({ priority, generation }: PlaceRequest): string => `${priority} ${generation?.customer ?? ""}`;

interface Waiter extends QueuedRequest {
    customerWork: number;
    readonly place: PlaceRequest;
    readonly endsAt: number;
    readonly resolve: (permit: Permit) => void;
}

interface QueuedRoom {
    readonly runner: string;
    readonly room: RunnerRoom;
    readonly work: CustomerWork;
    waiters: Waiter[];
    timer: NodeJS.Timeout | undefined;
    /** When it was last logged that the runner lacks something, and denials since then. */
    loggedAt: number;
    denied: number;
}

/** Hands out the places of upstreams that are brittle, or fail beyond their memory, for all nodes, to those first that lose most by waiting. */
export class UpstreamRooms {
    private readonly rooms = new Map<string, QueuedRoom>();
    /** Generations that were admitted, and denied by what they lacked, since the start. */
    admitted = 0;
    private readonly deniedByLack = new Map<PlaceLack, number>();

    private constructor() {}

    static create(): UpstreamRooms {
        return new UpstreamRooms();
    }

    /** Number of upstreams of which something is known. */
    get size(): number {
        return this.rooms.size;
    }

    /** Generations that were denied for want of something, since the start. */
    deniedBy(lack: PlaceLack): number {
        return this.deniedByLack.get(lack) ?? 0;
    }

    /** Requests that are queued at this node. */
    get queued(): number {
        return [...this.rooms.values()].reduce((sum, { waiters }) => sum + waiters.length, 0);
    }

    /** Largest share of its memory that a runner of this node has in use, by the places that were given and what nodes report. */
    get largestMemoryShare(): number {
        return Math.max(0, ...[...this.rooms.values()].map(({ room }) => room.memoryShare));
    }

    /** Takes a place of an upstream, waiting for it as long as the request allows. */
    take(runner: string, place: PlaceRequest): Promise<Permit> {
        const queued = this.roomOf(runner);
        const { room } = queued;
        room.setUnplaced(place.node, place.unplaced, place.generation?.unplacedTokens);
        if (room.wasOvertaken(place.id)) {
            return Promise.resolve({ isGranted: false, waitMs: 0, isFull: true });
        }
        if (place.generation?.isSent === true) {
            return Promise.resolve(this.give(queued, place));
        }
        return new Promise(resolve => {
            const now = performance.now();
            const endsAt = now + Math.min(maxQueueMs, queued.waiters.length < maxQueued ? place.maxQueueMs : 0);
            queued.waiters.push({ place, endsAt, resolve, firstTokenDueAt: now + place.dueInMs, priority: place.priority, customerWork: 0 });
            this.drain(queued);
            this.denyHopeless(queued, place);
        });
    }

    /** Records the places that a node gives back, and its requests in progress without one. */
    report({ node, returned, unplaced }: PlaceReport): void {
        const changed = new Set<QueuedRoom>();
        for (const { runner, count, tokens } of unplaced) {
            const queued = this.roomOf(runner);
            queued.room.setUnplaced(node, count, tokens);
            changed.add(queued);
        }
        for (const { runner, id, isRejected } of returned) {
            const queued = this.roomOf(runner);
            if (id !== undefined) {
                queued.room.giveBack(id, isRejected);
                this.removeWaiter(queued, id);
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
        return getOrCreate(this.rooms, runner, (): QueuedRoom => ({
            runner,
            room: RunnerRoom.create(),
            work: CustomerWork.create(),
            waiters: [],
            timer: undefined,
            loggedAt: Number.NEGATIVE_INFINITY,
            denied: 0,
        }));
    }

    /** Ends the wait of a request at once if no place is expected in time. */
    private denyHopeless(queued: QueuedRoom, place: PlaceRequest): void {
        const ahead = queued.waiters.findIndex(waiter => waiter.place === place);
        const waitMs = ahead < 0 ? 0 : queued.room.expectedWaitMs(place, ahead);
        if (waitMs > place.maxQueueMs) {
            const [waiter] = queued.waiters.splice(ahead, 1);
            waiter!.resolve(this.deny(queued, place, waitMs));
        }
    }

    /** Ends the wait of a request whose node has given its place back already. */
    private removeWaiter(queued: QueuedRoom, id: string): void {
        const index = queued.waiters.findIndex(({ place }) => place.id === id);
        if (index >= 0) {
            const [waiter] = queued.waiters.splice(index, 1);
            waiter!.resolve({ isGranted: false, waitMs: 0, isFull: true });
        }
    }

    /** Gives a place, for which there is room or whose request is sent in any case. */
    private give({ room, work }: QueuedRoom, place: PlaceRequest): Permit {
        const { generation } = place;
        room.add(place.id, place.holdMs, place);
        if (!generation) {
            return { isGranted: true, waitMs: 0 };
        }
        work.add(workKeyOf(place), generation.tokens);
        this.admitted++;
        return { isGranted: true, waitMs: 0, hasTerms: true };
    }

    private deny(queued: QueuedRoom, place: PlaceRequest, waitMs: number): Permit {
        const { room } = queued;
        if (!place.generation) {
            return { isGranted: false, waitMs, isFull: true };
        }
        const lack = room.lackOf(place) ?? PlaceLack.Slots;
        this.deniedByLack.set(lack, this.deniedBy(lack) + 1);
        this.logDenied(queued, place, lack, waitMs);
        return { isGranted: false, waitMs, isFull: true, lack, retryAfterMs: room.promiseReturnMs(waitMs), hasTerms: true };
    }

    private logDenied(queued: QueuedRoom, place: PlaceRequest, lack: PlaceLack, waitMs: number): void {
        const now = performance.now();
        queued.denied++;
        if (now - queued.loggedAt < logIntervalMs) {
            return;
        }
        const { room, runner, waiters, denied } = queued;
        emit(EventId.RunnerFull, { runner, lack, waitMs: Math.round(waitMs), denied, queued: waiters.length, ...room.describe(place) });
        queued.loggedAt = now;
        queued.denied = 0;
    }

    private sort({ waiters, work }: QueuedRoom, now: number): void {
        for (const waiter of waiters) {
            const { generation } = waiter.place;
            waiter.customerWork = generation ? work.of(workKeyOf(waiter.place)) : 0;
        }
        waiters.sort((a, b) => isServedBefore(a, b, now) ? -1 : isServedBefore(b, a, now) ? 1 : 0);
    }

    /**
     * Gives what is free to the request that is first. If that waits until other prompts are read, short prompts that need not wait for this go on; no other request overtakes,
     * so that large ones get their turn.
     */
    private giveNext(queued: QueuedRoom): boolean {
        let isPrefillFull = false;
        for (const [index, { place, resolve }] of queued.waiters.entries()) {
            if (isPrefillFull && !queued.room.mayPass(place)) {
                continue;
            }
            const lack = queued.room.lackOf(place);
            if (lack === undefined) {
                queued.waiters.splice(index, 1);
                resolve(this.give(queued, place));
                return true;
            }
            if (lack !== PlaceLack.Prefill) {
                return false;
            }
            isPrefillFull = true;
        }
        return false;
    }

    /** Gives free places to queued requests, and ends the wait of those whose time is over. */
    private drain(queued: QueuedRoom): void {
        const now = performance.now();
        const { room } = queued;
        do {
            this.sort(queued, now);
        }
        while (this.giveNext(queued));
        queued.waiters = queued.waiters.filter(({ place, endsAt, resolve }, ahead) => {
            if (endsAt > now) {
                return true;
            }
            resolve(this.deny(queued, place, room.expectedWaitMs(place, ahead)));
            return false;
        });
        clearTimeout(queued.timer);
        queued.timer = queued.waiters.length > 0 ? setTimeout(() => this.drain(queued), drainIntervalMs) : undefined;
    }
}
