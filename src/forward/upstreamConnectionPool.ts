import { UpstreamContact } from "../core/upstreamContact";
import { UpstreamConnection } from "./upstreamConnection";

/** Connections idle for longer than this may be closed by the upstream at any time. */
const maxSafeIdleMs = 250;
/** Share of the idle time after which an upstream dropped a connection that counts as safe from then on. */
const safeIdleShare = 0.5;
/** Time after which a limit that was learned from a dropped connection no longer applies. */
const learnedLimitLifetimeMs = 20_000;

/** What the connections of a pool have to do with the path to all upstreams. */
type PathContact = Pick<UpstreamContact, "onOpened" | "trustsKeptConnections">;

/** Pool of connections to one upstream; each carries one request at a time. */
export class UpstreamConnectionPool {
    private idle: UpstreamConnection[] = [];
    private readonly inUse = new Set<UpstreamConnection>();
    /** All connections that have not been closed yet. */
    private readonly open = new Set<UpstreamConnection>();
    private isClosed = false;
    private learnedIdleMs = Number.POSITIVE_INFINITY;
    private learnedAt = Number.NEGATIVE_INFINITY;

    private constructor(
        readonly address: string,
        private readonly maxHeadBytes: number,
        private readonly onCount: (change: number) => void,
        private readonly contact: PathContact,
        private readonly connectTimeoutMs: number | undefined,
        private readonly onConnected: (connectMs: number) => void,
    ) {}

    /** Creates an empty pool of connections to an address; `onCount` is called with each change of their number, `contact` is told of each one that was opened, and `onConnected` how long that took. */
    static create(
        address: string,
        maxHeadBytes: number,
        onCount: (change: number) => void = () => {},
        contact: PathContact = UpstreamContact.create(),
        connectTimeoutMs?: number,
        onConnected: (connectMs: number) => void = () => {},
    ): UpstreamConnectionPool {
        return new UpstreamConnectionPool(address, maxHeadBytes, onCount, contact, connectTimeoutMs, onConnected);
    }

    /** Number of connections that are open or being opened. */
    get size(): number {
        return this.idle.length + this.inUse.size;
    }

    /**
     * Returns a connection for one request: the most recently used one, or a new one. A request that must not be repeated never gets one that may be closing, or silent as all are. A new
     * connection carries the request only after `confirm`, so that the request can be aborted as late as that.
     */
    acquire(mayRepeat: boolean, confirm: () => Promise<unknown>): UpstreamConnection {
        const connection = this.takeIdle(mayRepeat) ?? this.connect(confirm);
        this.inUse.add(connection);
        return connection;
    }

    /** Returns a new connection for one request, as `acquire` does. */
    acquireNew(confirm: () => Promise<unknown>): UpstreamConnection {
        const connection = this.connect(confirm);
        this.inUse.add(connection);
        return connection;
    }

    /** Records that a connection ended before any byte of an answer: if it had been idle, the upstream drops idle connections that early. */
    onEndedUnanswered({ idleBeforeUseMs }: UpstreamConnection): void {
        if (idleBeforeUseMs !== undefined) {
            this.learnedIdleMs = Math.min(this.idleLimitMs, safeIdleShare * idleBeforeUseMs);
            this.learnedAt = performance.now();
        }
    }

    private get idleLimitMs(): number {
        return performance.now() - this.learnedAt < learnedLimitLifetimeMs ? this.learnedIdleMs : Number.POSITIVE_INFINITY;
    }

    /** Returns a connection to the pool after a complete answer, unless the answer ends the connection or came before the end of the upload: the next request would wait behind the rest of it. */
    release(connection: UpstreamConnection): void {
        // The client closes a connection that an answer ends only after it has reported the end of the answer.
        queueMicrotask(() => {
            if (this.inUse.delete(connection) && connection.isOpen && !connection.isSending && !this.isClosed) {
                connection.onIdle();
                this.idle.push(connection);
            }
            else {
                this.discard(connection);
            }
        });
    }

    /** Closes a connection that must not be reused. */
    discard(connection: UpstreamConnection): void {
        this.inUse.delete(connection);
        this.idle = this.idle.filter(other => other !== connection);
        if (this.open.delete(connection)) {
            this.onCount(-1);
        }
        connection.destroy();
    }

    /** Closes all idle connections and takes back what their ends said: the node's path to all upstreams was lost. */
    onPathLost(): void {
        this.learnedAt = Number.NEGATIVE_INFINITY;
        this.idle.forEach(connection => this.discard(connection));
    }

    /** Closes all idle connections, and the others as soon as they have carried their requests. */
    close(): void {
        this.isClosed = true;
        this.idle.forEach(connection => this.discard(connection));
    }

    private takeIdle(mayRepeat: boolean): UpstreamConnection | undefined {
        this.idle.filter(({ isOpen }) => !isOpen).forEach(connection => this.discard(connection));
        const last = this.idle.at(-1);
        if (!last || last.idleForMs >= this.idleLimitMs || (!mayRepeat && (last.idleForMs >= maxSafeIdleMs || !this.contact.trustsKeptConnections))) {
            return undefined;
        }
        last.onTaken();
        return this.idle.pop();
    }

    private connect(confirm: () => Promise<unknown>): UpstreamConnection {
        const connection = UpstreamConnection.create(this.address, this.maxHeadBytes, () => {
            this.contact.onOpened();
            this.onConnected(connection.connectMs);
            return confirm();
        }, this.connectTimeoutMs);
        this.open.add(connection);
        this.onCount(1);
        connection.client.on("disconnect", () => {
            if (this.idle.includes(connection)) {
                this.discard(connection);
            }
        });
        return connection;
    }
}
