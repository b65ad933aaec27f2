import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { UnfinishedHeads } from "../core/unfinishedHeads";
import { EventId } from "../types/eventId";
import type { GuardedPort } from "../types/guardedPort";
import { PortClose } from "../types/portClose";
import { emit } from "../utils/events";
import { cutParsing } from "./cutParsing";
import type { Gateway } from "./gateway";
import { HeadWatch } from "./headWatch";

/** Part of the heap's limit of which unfinished heads of a port may take their share. */
const headHeapShare = 1 / 3;
/** Closed connections are logged together, at this interval. */
const logIntervalMs = 1_000;

/** Limits of a port that is not for callers. */
export interface PortLimits {
    readonly maxConnections: number;
    /** Bytes of bodies that all its connections together may hold before they have been read to their end. */
    readonly maxBodyBytes: number;
    /** Whether the body of a request counts; others have limits of their own. */
    readonly isBodyCounted?: (req: IncomingMessage) => boolean;
}

/** A connection to the port. */
interface Connection {
    /** The newest request and its answer. */
    req: IncomingMessage | undefined;
    res: ServerResponse | undefined;
    /** Bytes received before the read that the request began in, and up to the last read. */
    startBytes: number;
    receivedBytes: number;
    heldBytes: number;
}

/** Bounds what connections to a port that is not for callers may hold. Its clients send one request at a time and small bodies. */
export class PortGuard {
    private readonly connections = new Map<Socket, Connection>();
    private readonly headWatch: HeadWatch;
    private heldBytes = 0;
    private closed: Partial<Record<PortClose, number>> = {};
    private isLogDue = false;

    private constructor(server: Server, gateway: Gateway, private readonly port: GuardedPort, private readonly limits: PortLimits) {
        const heads = UnfinishedHeads.create<Socket>({ heapLimitBytes: () => headHeapShare * gateway.memoryGauge.read().heapLimit });
        this.headWatch = HeadWatch.create(
            heads,
            socket => this.isBusy(socket),
            socket => this.close(socket, PortClose.Head),
            (socket, parsedBytes) => this.onRead(socket, parsedBytes),
        );
        server.on("connection", (socket: Socket) => this.onOpened(socket));
        const [handle] = server.listeners("request") as ((req: IncomingMessage, res: ServerResponse) => void)[];
        server.removeAllListeners("request");
        server.on("request", (req: IncomingMessage, res: ServerResponse) => {
            if (this.admit(req, res)) {
                handle?.(req, res);
            }
        });
    }

    /** Guards a server that does not listen yet and has its handler of requests. */
    static create(server: Server, gateway: Gateway, port: GuardedPort, limits: PortLimits): PortGuard {
        return new PortGuard(server, gateway, port, limits);
    }

    private onOpened(socket: Socket): void {
        this.connections.set(socket, { req: undefined, res: undefined, startBytes: 0, receivedBytes: 0, heldBytes: 0 });
        socket.once("close", () => {
            this.hold(this.connections.get(socket), 0);
            this.connections.delete(socket);
        });
        this.headWatch.open(socket);
        if (this.connections.size > this.limits.maxConnections) {
            const [idle = socket] = [...this.connections.keys()].filter(other => !this.isBusy(other) && !other.destroyed);
            this.close(idle, PortClose.Connections);
        }
    }

    /** Whether a request is handled. */
    private admit(req: IncomingMessage, res: ServerResponse): boolean {
        const { socket } = req;
        const connection = this.connections.get(socket);
        this.headWatch.end(req);
        if (!connection || socket.destroyed) {
            return false;
        }
        if (this.isBusy(socket)) {
            this.close(socket, PortClose.Pipelined);
            return false;
        }
        Object.assign(connection, { req, res, startBytes: connection.receivedBytes });
        return true;
    }

    private onRead(socket: Socket, parsedBytes: number): void {
        const connection = this.connections.get(socket);
        if (!connection) {
            return;
        }
        const { req } = connection;
        connection.receivedBytes = parsedBytes;
        const isHeld = req !== undefined && !req.complete && this.limits.isBodyCounted?.(req) !== false;
        this.hold(connection, isHeld ? connection.receivedBytes - connection.startBytes : 0);
        if (isHeld && this.heldBytes > this.limits.maxBodyBytes) {
            this.close(socket, PortClose.Body);
        }
    }

    private hold(connection: Connection | undefined, bytes: number): void {
        if (connection) {
            this.heldBytes += bytes - connection.heldBytes;
            connection.heldBytes = bytes;
        }
    }

    private isBusy(socket: Socket): boolean {
        const res = this.connections.get(socket)?.res;
        return res !== undefined && !res.writableFinished && !res.closed;
    }

    private close(socket: Socket, reason: PortClose): void {
        cutParsing(socket);
        this.hold(this.connections.get(socket), 0);
        this.closed[reason] = (this.closed[reason] ?? 0) + 1;
        if (!this.isLogDue) {
            this.isLogDue = true;
            setTimeout(() => this.log(), logIntervalMs).unref();
        }
    }

    private log(): void {
        emit(EventId.PortConnectionsClosed, { port: this.port, ...this.closed, open: this.connections.size, heldBodyBytes: this.heldBytes });
        this.isLogDue = false;
        this.closed = {};
    }
}
