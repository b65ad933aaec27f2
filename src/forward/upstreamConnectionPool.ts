import { Socket } from "node:net";
import { buildConnector, Client } from "undici";

/** Connecting within a VM or availability zone takes a few milliseconds; longer means that the upstream is gone or its accept queue is full. */
const connectTimeoutMs = 400;
/** Idle time after which a connection is closed if the upstream specifies none. */
const defaultIdleTimeoutMs = 900;
/** Margin by which a connection is closed before the upstream would close it, so that no request is sent while it closes. */
const closeMarginMs = 500;
/** Connections idle for longer than this may be closed by the upstream at any time. */
const maxSafeIdleMs = 250;
/** Share of the idle time after which an upstream dropped a connection that counts as safe from then on. */
const safeIdleShare = 0.5;
/** Time after which a limit that was learned from a dropped connection no longer applies. */
const learnedLimitLifetimeMs = 20_000;

interface IdleConnection {
    readonly client: Client;
    readonly idleSince: number;
}

/**
 * What the client is told of a connection that its upstream closed before the request was sent. Told of the closed connection itself, the client would open another
 * one at once, again and again.
 */
const unlessClosed = (result: buildConnector.CallbackArgs): buildConnector.CallbackArgs =>
    result[1]?.destroyed || result[1]?.readableEnded
        ? [Object.assign(new Error("the upstream closed the connection before the request was sent"), {
            code: "ECONNRESET",
        })] as unknown as buildConnector.CallbackArgs
        : result;

/** Pool of connections to one upstream; each carries one request at a time. */
export class UpstreamConnectionPool {
    private idle: IdleConnection[] = [];
    private readonly inUse = new Set<Client>();
    /** All connections that have not been closed yet. */
    private readonly open = new Set<Client>();
    private readonly resetClients = new WeakSet<Client>();
    private readonly sockets = new WeakMap<Client, Socket>();
    /** How long a reused connection had been idle. */
    private readonly idleBeforeUse = new WeakMap<Client, number>();
    private learnedIdleMs = Number.POSITIVE_INFINITY;
    private learnedAt = Number.NEGATIVE_INFINITY;

    private constructor(private readonly address: string, private readonly maxHeadBytes: number, private readonly onCount: (change: number) => void) {}

    /** Creates an empty pool of connections to an address; `onCount` is called with each change of their number. */
    static create(address: string, maxHeadBytes: number, onCount: (change: number) => void = () => {}): UpstreamConnectionPool {
        return new UpstreamConnectionPool(address, maxHeadBytes, onCount);
    }

    /** Number of connections that are open or being opened. */
    get size(): number {
        return this.idle.length + this.inUse.size;
    }

    /**
     * Returns a connection for one request: the most recently used one, or a new one. A request that must not be repeated never gets one that may be closing. A new
     * connection carries the request only after `confirm`, so that the request can be aborted as late as that.
     */
    acquire(mayRepeat: boolean, confirm: () => Promise<unknown>): Client {
        const last = this.idle.at(-1);
        const idleMs = last ? performance.now() - last.idleSince : 0;
        const isUsable = last && idleMs < this.idleLimitMs && (mayRepeat || idleMs < maxSafeIdleMs);
        const client = isUsable ? this.idle.pop()!.client : this.connect(confirm);
        if (isUsable) {
            this.idleBeforeUse.set(client, idleMs);
        }
        this.inUse.add(client);
        return client;
    }

    /** Whether the connection has carried a request before its present one. */
    isReused(client: Client): boolean {
        return this.idleBeforeUse.has(client);
    }

    /** Whether the connection was reset: an answer without a length is incomplete in that case. */
    wasReset(client: Client): boolean {
        return this.resetClients.has(client);
    }

    /** Socket of a connection; undefined before it is opened. */
    socketOf(client: Client): Socket | undefined {
        return this.sockets.get(client);
    }

    /** Records that a connection ended before any byte of an answer: if it had been idle, the upstream drops idle connections that early. */
    onEndedUnanswered(client: Client): void {
        const idleMs = this.idleBeforeUse.get(client);
        if (idleMs !== undefined) {
            this.learnedIdleMs = Math.min(this.idleLimitMs, safeIdleShare * idleMs);
            this.learnedAt = performance.now();
        }
    }

    private get idleLimitMs(): number {
        return performance.now() - this.learnedAt < learnedLimitLifetimeMs ? this.learnedIdleMs : Number.POSITIVE_INFINITY;
    }

    /** Returns a connection to the pool after a complete answer. */
    release(client: Client): void {
        if (this.inUse.delete(client) && !client.destroyed && !client.closed) {
            this.idle.push({ client, idleSince: performance.now() });
        }
    }

    /** Closes a connection that must not be reused. */
    discard(client: Client): void {
        this.inUse.delete(client);
        this.idle = this.idle.filter(entry => entry.client !== client);
        this.destroy(client);
    }

    /** Closes all idle connections. */
    close(): void {
        this.idle.forEach(({ client }) => this.destroy(client));
        this.idle = [];
    }

    private destroy(client: Client): void {
        if (this.open.delete(client)) {
            this.onCount(-1);
        }
        void client.destroy();
        // The client does not know the socket of a connection that is being opened.
        this.sockets.get(client)?.destroy();
    }

    private connect(confirm: () => Promise<unknown>): Client {
        const connect = buildConnector({ timeout: connectTimeoutMs });
        const client: Client = new Client(`http://${this.address}`, {
            connect: (options, callback) => {
                const socket: unknown = connect(options, (...result) => {
                    this.recordResets(client, result[1] ?? undefined);
                    void (result[0] ? Promise.resolve() : confirm()).then(() => callback(...unlessClosed(result)));
                });
                if (socket instanceof Socket) {
                    this.sockets.set(client, socket);
                }
            },
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            maxHeaderSize: this.maxHeadBytes,
            keepAliveTimeout: defaultIdleTimeoutMs,
            keepAliveTimeoutThreshold: closeMarginMs,
        });
        this.open.add(client);
        this.onCount(1);
        // A client stands for one connection: it is not reconnected after a close.
        client.on("disconnect", () => {
            if (this.idle.some(entry => entry.client === client)) {
                this.discard(client);
            }
        });
        return client;
    }

    /** undici treats a reset as the end of an answer without a length; these listeners are called first and record the reset. */
    private recordResets(client: Client, socket: Socket | undefined): void {
        socket?.once("error", () => this.resetClients.add(client));
        socket?.once("end", () => {
            // A reset that arrives together with data is reported as an end; the socket then has no remote address.
            if (socket.remoteAddress === undefined) {
                this.resetClients.add(client);
            }
        });
    }
}
