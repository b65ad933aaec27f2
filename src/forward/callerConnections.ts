import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { DescriptorBudget } from "../core/descriptorBudget";
import type { HeapDenial, HeapGrant } from "../core/requestHeap";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import { MemoryHolder } from "../types/memoryHolder";
import { emit } from "../utils/events";
import { getOrCreate } from "../utils/maps";
import { cutParsing } from "./cutParsing";
import type { Gateway } from "./gateway";
import { HeadWatch } from "./headWatch";
import { ReadAhead } from "./readAhead";

/** Charge for a connection of a caller with what it holds of an incomplete head. */
const connectionBytes = 16_384;
/** Limit of the parser under a configuration: this multiple of the configured limit, and no less than this. */
const parserHeaderFactor = 2;
const minParserHeaderBytes = 16_384;
/** A request behind as many others of its connection, all unanswered, was sent far ahead. */
const minFarAhead = 4;
/** A connection with more unanswered requests is closed: one read may hold thousands, and other callers would wait until all of them have been handled. */
const maxUnansweredRequests = 100;
/** Mean Retry-After while connections are short. */
const connectionsRetryAfterMs = 1_000;
/** Answer to a head for which there is no room. */
const headRefusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";
/** Closed connections are logged together, at this interval. */
const logIntervalMs = 1_000;

/** Why a request is refused before it is looked at. */
export interface ConnectionRefusal {
    readonly kind: FailureKind;
    readonly detail: string;
    readonly retryAfterMs: number;
    /** State of the budget, for the log. */
    readonly memory?: HeapDenial["memory"];
}

/** Connections of callers, idle ones among them, within the memory and descriptors of the process. */
export class CallerConnections {
    private readonly descriptors: DescriptorBudget<Socket>;
    private readonly refusals = new WeakMap<IncomingMessage, ConnectionRefusal>();
    /** Heap of the unanswered requests of each connection. The runtime does not announce the close of responses behind another one. */
    private readonly heapGrants = new Map<Socket, Set<HeapGrant>>();
    private readonly cut = new WeakSet<Socket>();
    private readonly headWatch: HeadWatch;
    private readonly readAhead: ReadAhead;
    private closedCount = 0;
    private cutCount = 0;
    private givenUpCount = 0;

    private constructor(private readonly server: Server, private readonly gateway: Gateway) {
        this.descriptors = DescriptorBudget.create<Socket>({
            maxDescriptors: () => gateway.settings.maxDescriptors,
            upstreamConnections: () => gateway.upstreamConnections,
            close: socket => this.closeIdle(socket),
        });
        this.readAhead = ReadAhead.create(gateway.memory, socket => this.cutConnection(socket), () => gateway.isStopping);
        this.headWatch = HeadWatch.create(
            gateway.unfinishedHeads,
            socket => this.descriptors.requestsOn(socket) > 0,
            socket => this.giveUpHead(socket),
            socket => this.readAhead.onRead(socket),
        );
        server.on("connection", (socket: Socket) => this.onOpened(socket));
        // Before the handler of requests, which asks whether a request is refused.
        server.prependListener("request", (req: IncomingMessage, res: ServerResponse) => this.onRequest(req, res));
    }

    /** Follows the connections of a server that does not listen yet. */
    static create(server: Server, gateway: Gateway): CallerConnections {
        return new CallerConnections(server, gateway);
    }

    /** Number of open connections. */
    get openCount(): number {
        return this.descriptors.connections;
    }

    /** Why there is no descriptor or memory for serving a request; undefined if there is. */
    refusalOf(req: IncomingMessage): ConnectionRefusal | undefined {
        return this.refusals.get(req);
    }

    /** Whether the connection of a request was closed before it was read: the runtime goes on to the end of what it has received. */
    isCut({ socket }: IncomingMessage): boolean {
        return this.cut.has(socket);
    }

    /** A request's turn has come: all those ahead of it on its connection have been answered. Returns false if its body will not be read, as the node stops. */
    beginTurn(req: IncomingMessage): boolean {
        return this.readAhead.begin(req);
    }

    /** Counts the connection of a peer while it carries a request that was passed on. */
    takeOver(req: IncomingMessage, res: ServerResponse): void {
        const { memory, peers } = this.gateway;
        const { socket } = req;
        memory.charge(MemoryHolder.CallerConnections, connectionBytes);
        peers.takenOver++;
        this.onRequest(req, res);
        res.once("close", () => {
            peers.takenOver--;
            memory.charge(MemoryHolder.CallerConnections, -connectionBytes);
            this.heapGrants.delete(socket);
            this.descriptors.remove(socket);
        });
    }

    /** Bounds what a connection may hold of a head. Heads that are somewhat too large are still read and refused with a reason. */
    limitHeads(maxHeaderBytes: number): void {
        const server = this.server as Server & { maxHeaderSize?: number; };
        server.maxHeaderSize = Math.max(minParserHeaderBytes, parserHeaderFactor * maxHeaderBytes);
    }

    private onOpened(socket: Socket): void {
        const { memory } = this.gateway;
        memory.charge(MemoryHolder.CallerConnections, connectionBytes);
        socket.once("close", () => {
            memory.charge(MemoryHolder.CallerConnections, -connectionBytes);
            this.heapGrants.get(socket)?.forEach(grant => grant.release());
            this.heapGrants.delete(socket);
            this.descriptors.remove(socket);
        });
        this.headWatch.open(socket);
        this.readAhead.open(socket);
        if (!this.descriptors.open(socket)) {
            this.closeIdle(socket);
        }
    }

    private onRequest(req: IncomingMessage, res: ServerResponse): void {
        const { gateway, descriptors } = this;
        const { socket } = req;
        this.headWatch.end(req);
        if (this.isCut(req)) {
            return;
        }
        gateway.heapWatch.check();
        const hasDescriptor = descriptors.begin(socket);
        if (descriptors.requestsOn(socket) > maxUnansweredRequests) {
            this.cutConnection(socket);
            return;
        }
        const isFarAhead = descriptors.requestsOn(socket) > minFarAhead;
        if (descriptors.requestsOn(socket) > 1) {
            this.readAhead.wait(req);
        }
        const heap = gateway.requestHeap.request(req.rawHeaders, isFarAhead);
        res.once("close", () => descriptors.end(socket));
        if (!heap.isGranted) {
            const { retryAfterMs, memory } = heap;
            this.refusals.set(req, { kind: FailureKind.HeapShort, detail: "the node has no memory for the request", retryAfterMs, memory });
            if (isFarAhead) {
                this.cutConnection(socket);
            }
            return;
        }
        this.holdHeap(socket, res, heap);
        if (!hasDescriptor) {
            const retryAfterMs = connectionsRetryAfterMs * (0.5 + gateway.random());
            this.refusals.set(req, { kind: FailureKind.ConnectionsShort, detail: "the node has no descriptor for the request", retryAfterMs });
        }
    }

    private holdHeap(socket: Socket, res: ServerResponse, heap: HeapGrant): void {
        const grants = getOrCreate(this.heapGrants, socket, () => new Set());
        grants.add(heap);
        res.once("close", () => {
            grants.delete(heap);
            heap.release();
        });
    }

    /** Closes a connection on which more was sent ahead than there is memory for: refusals have to wait for the answers ahead of them. */
    private cutConnection(socket: Socket): void {
        this.cut.add(socket);
        cutParsing(socket);
        this.cutCount++;
        if (this.cutCount === 1) {
            setTimeout(() => this.logCut(), logIntervalMs).unref();
        }
    }

    private logCut(): void {
        const { usedBytes, limitBytes } = this.gateway.requestHeap;
        emit(EventId.ConnectionsCut, { closed: this.cutCount, open: this.openCount, usedBytes, limitBytes });
        this.cutCount = 0;
    }

    private giveUpHead(socket: Socket): void {
        if (this.descriptors.requestsOn(socket) === 0) {
            socket.write(headRefusal);
        }
        socket.destroy();
        this.givenUpCount++;
        if (this.givenUpCount === 1) {
            setTimeout(() => this.logGivenUp(), logIntervalMs).unref();
        }
    }

    private logGivenUp(): void {
        const { count, usedBytes, limitBytes } = this.gateway.unfinishedHeads;
        emit(EventId.HeadsGivenUp, { givenUp: this.givenUpCount, unfinished: count, usedBytes, limitBytes, open: this.openCount });
        this.givenUpCount = 0;
    }

    private closeIdle(socket: Socket): void {
        socket.destroy();
        this.closedCount++;
        if (this.closedCount === 1) {
            setTimeout(() => this.logClosed(), logIntervalMs).unref();
        }
    }

    private logClosed(): void {
        emit(EventId.IdleConnectionsClosed, { closed: this.closedCount, open: this.openCount, used: this.descriptors.used, limit: this.descriptors.limit });
        this.closedCount = 0;
    }
}
