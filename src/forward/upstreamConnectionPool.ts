import type { Socket } from "node:net";
import { buildConnector, Client } from "undici";

/** A connection within a VM or zone takes a few milliseconds; longer means that the upstream is gone or its queue is full. */
const connectTimeoutMs = 400;
/** Idle time after which a connection is closed where the upstream names none. */
const idleTimeoutMs = 900;
/** Closes a connection this long before the upstream would: a request must not cross the close. */
const idleMarginMs = 500;
/** Connections that have been idle longer than this may be closed by the upstream at any moment. */
const freshIdleMs = 250;

interface IdleConnection {
    readonly client: Client;
    readonly since: number;
}

/** The open connections to one upstream; each carries one request at a time. */
export class UpstreamConnectionPool {
    private idle: IdleConnection[] = [];
    private readonly busy = new Set<Client>();
    private readonly reset = new WeakSet<Client>();

    private constructor(private readonly address: string) {}

    /** Makes an empty set of connections to an address. */
    static create(address: string): UpstreamConnectionPool {
        return new UpstreamConnectionPool(address);
    }

    /** Connections that are open or being opened. */
    get size(): number {
        return this.idle.length + this.busy.size;
    }

    /** A connection for one request: the one used last, or a new one. What must not be repeated gets none that may be closing. */
    acquire(mayRepeat: boolean): Client {
        const last = this.idle.at(-1);
        const isUsable = last && (mayRepeat || performance.now() - last.since < freshIdleMs);
        const client = isUsable ? this.idle.pop()!.client : this.open();
        this.busy.add(client);
        return client;
    }

    /** Whether the connection ended with an error: an answer whose length is not known is not whole then. */
    wasReset(client: Client): boolean {
        return this.reset.has(client);
    }

    /** Gives a connection back after a whole answer. */
    release(client: Client): void {
        if (this.busy.delete(client) && !client.destroyed && !client.closed) {
            this.idle.push({ client, since: performance.now() });
        }
    }

    /** Ends a connection that must not be used again. */
    discard(client: Client): void {
        this.busy.delete(client);
        this.idle = this.idle.filter(entry => entry.client !== client);
        void client.destroy();
    }

    /** Ends all idle connections. */
    close(): void {
        this.idle.forEach(({ client }) => void client.destroy());
        this.idle = [];
    }

    private open(): Client {
        const connect = buildConnector({ timeout: connectTimeoutMs });
        const client: Client = new Client(`http://${this.address}`, {
            connect: (options, callback) =>
                connect(options, (...result) => {
                    this.watchForReset(client, result[1] ?? undefined);
                    callback(...result);
                }),
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: idleTimeoutMs,
            keepAliveTimeoutThreshold: idleMarginMs,
        });
        // One client is one connection: it is not opened again after a close.
        client.on("disconnect", () => {
            if (this.idle.some(entry => entry.client === client)) {
                this.discard(client);
            }
        });
        return client;
    }

    /** The library takes a reset for the end of an answer without a length; these listeners hear of it first. */
    private watchForReset(client: Client, socket: Socket | undefined): void {
        socket?.once("error", () => this.reset.add(client));
        socket?.once("end", () => {
            // A reset that comes together with data is read as an end; such a socket has no peer any more.
            if (socket.remoteAddress === undefined) {
                this.reset.add(client);
            }
        });
    }
}
