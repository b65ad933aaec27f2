import { Socket } from "node:net";
import type { buildConnector } from "undici";
import { Client } from "undici";
import { createPunctualConnector } from "../utils/punctualConnector";
import { isSystemError } from "../utils/transport";

/** Connecting within a VM or availability zone takes a few milliseconds; longer means that the upstream is gone or its accept queue is full. */
const defaultConnectTimeoutMs = 400;
/** Idle time after which a connection is closed if the upstream specifies none. */
const defaultIdleTimeoutMs = 900;
/** Margin by which a connection is closed before the upstream would close it, so that no request is sent while it closes. */
const closeMarginMs = 500;

/** The error of a connection that ended before the request was sent. */
const closedError = (message: string): buildConnector.CallbackArgs =>
    [Object.assign(new Error(message), { code: "ECONNRESET" })] as unknown as buildConnector.CallbackArgs;

/**
 * What the client is told of a connection that its upstream closed before the request was sent. Told of the closed connection itself, the client would open another
 * one at once, again and again.
 */
const unlessClosed = (result: buildConnector.CallbackArgs): buildConnector.CallbackArgs =>
    result[1]?.destroyed || result[1]?.readableEnded ? closedError("the upstream closed the connection before the request was sent") : result;

/** One connection to an upstream, which carries one request at a time. It stands for exactly one socket: its client never connects again. */
export class UpstreamConnection {
    readonly client: Client;
    /** The connection's socket; undefined before it is being opened. */
    socket: Socket | undefined;
    /** When it was opened, on the monotonic clock. */
    openedAt = Number.NEGATIVE_INFINITY;
    /** How long it took to open. */
    connectMs = 0;
    private hasConnected = false;
    private isReset = false;
    /** How long the connection had been idle before its present request; undefined at its first. */
    private idleMs: number | undefined;
    private idleSince = 0;

    private constructor(address: string, maxHeadBytes: number, private readonly confirm: () => Promise<unknown>, private readonly connectTimeoutMs: number) {
        this.client = new Client(`http://${address}`, {
            connect: (options, callback) => this.connect(options, callback),
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            maxHeaderSize: maxHeadBytes,
            keepAliveTimeout: defaultIdleTimeoutMs,
            keepAliveTimeoutThreshold: closeMarginMs,
        });
    }

    /** Creates a connection that is opened for its first request and carries it only after `confirm`. */
    static create(
        address: string,
        maxHeadBytes: number,
        confirm: () => Promise<unknown>,
        connectTimeoutMs = defaultConnectTimeoutMs,
    ): UpstreamConnection {
        return new UpstreamConnection(address, maxHeadBytes, confirm, connectTimeoutMs);
    }

    /** Whether the connection is open, as far as this process has read. Bytes that have not been parsed belong to no request that is still to be sent, and may hide an end. */
    get isOpen(): boolean {
        const { client, socket } = this;
        return socket !== undefined && !socket.destroyed && !socket.readableEnded && socket.readableLength === 0 && !client.destroyed && !client.closed;
    }

    /** Whether the connection has carried a request before its present one. */
    get isReused(): boolean {
        return this.idleMs !== undefined;
    }

    /** Whether the connection was reset: an answer without a length is incomplete in that case. */
    get wasReset(): boolean {
        return this.isReset;
    }

    /** Whether part of a request has not been handed to the system yet. */
    get isSending(): boolean {
        return this.socket !== undefined && this.socket.writableLength > 0;
    }

    /** How long the connection has been idle by now. */
    get idleForMs(): number {
        return performance.now() - this.idleSince;
    }

    /** How long the connection had been idle before its present request; undefined at its first. */
    get idleBeforeUseMs(): number | undefined {
        return this.idleMs;
    }

    /** Records that a request takes the idle connection. */
    onTaken(): void {
        this.idleMs = this.idleForMs;
    }

    /** Records that the connection carries no request any more. */
    onIdle(): void {
        this.idleSince = performance.now();
    }

    destroy(): void {
        void this.client.destroy();
        // The client does not know the socket of a connection that is being opened.
        this.socket?.destroy();
    }

    private connect(options: buildConnector.Options, callback: buildConnector.Callback): void {
        if (this.hasConnected) {
            // The client connects again if its socket has ended while a request waits: that request is not sent.
            queueMicrotask(() => callback(...closedError("the connection ended before the request was sent")));
            return;
        }
        this.hasConnected = true;
        const startedAt = performance.now();
        const socket: unknown = createPunctualConnector({ timeout: this.connectTimeoutMs })(options, (...result) => {
            this.openedAt = performance.now();
            this.connectMs = this.openedAt - startedAt;
            this.recordReset(result[1] ?? undefined);
            void (result[0] ? Promise.resolve() : this.confirm()).then(() => callback(...unlessClosed(result)));
        });
        if (socket instanceof Socket) {
            this.socket = socket;
        }
    }

    /** undici treats a reset as the end of an answer without a length; these listeners are called first and record the reset. */
    private recordReset(socket: Socket | undefined): void {
        socket?.once("error", err => this.isReset ||= isSystemError(err));
        socket?.once("end", () => {
            // A reset that arrives together with data is reported as an end; the socket then has no remote address.
            this.isReset ||= socket.remoteAddress === undefined;
        });
    }
}
