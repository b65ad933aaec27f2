/** Descriptors that the platform reserves for files, out of all. */
const fileDescriptors = 200;
/** Share of the others that is set aside for the store, peers, probes and listeners. */
const setAsideShare = 0.15;
/** Share of those set aside that new connections may take until their request is refused. */
const refusalShare = 0.5;
/** A connection without a request is closed before one that has been used, unless it is newer than this. */
const newConnectionMs = 500;

/** Dependencies of a budget of descriptors. */
export interface DescriptorBudgetOptions<T> {
    /** Descriptors that the process may use. */
    readonly maxDescriptors: () => number;
    /** Connections to upstreams. */
    readonly upstreamConnections: () => number;
    /** Closes the idle connection of a caller. */
    readonly close: (connection: T) => void;
    readonly now?: () => number;
}

/**
 * Descriptors that callers' connections and their requests may use. A request needs one more, to its upstream. When they run short, idle connections are closed: first
 * those that never carried a request, the oldest first.
 */
export class DescriptorBudget<T> {
    /** Connections that have carried no request, with the time at which they were opened. */
    private readonly unused = new Map<T, number>();
    /** Connections between two requests, in the order in which they became idle. */
    private readonly idle = new Set<T>();
    /** Number of requests in progress on each other connection. */
    private readonly busy = new Map<T, number>();
    private readonly now: () => number;

    private constructor(private readonly options: DescriptorBudgetOptions<T>) {
        this.now = options.now ?? (() => performance.now());
    }

    static create<T>(options: DescriptorBudgetOptions<T>): DescriptorBudget<T> {
        return new DescriptorBudget(options);
    }

    /** Number of open connections of callers. */
    get connections(): number {
        return this.unused.size + this.idle.size + this.busy.size;
    }

    /** Number of requests in progress on a connection. */
    requestsOn(connection: T): number {
        return this.busy.get(connection) ?? 0;
    }

    /** Descriptors for callers and upstreams. */
    get limit(): number {
        return this.sockets - this.setAside;
    }

    /** Descriptors that are in use, or will be as requests in progress are sent. */
    get used(): number {
        return this.connections + Math.max(this.busy.size, this.options.upstreamConnections());
    }

    /** A caller has connected; false if there is no descriptor even for refusing its request. */
    open(connection: T): boolean {
        this.unused.set(connection, this.now());
        this.makeRoom();
        return this.used <= this.limit + refusalShare * this.setAside;
    }

    /** A request begins on a connection; false if it must be refused. */
    begin(connection: T): boolean {
        this.unused.delete(connection);
        this.idle.delete(connection);
        this.busy.set(connection, (this.busy.get(connection) ?? 0) + 1);
        this.makeRoom();
        return this.used <= this.limit;
    }

    /** A request has been answered or given up. */
    end(connection: T): void {
        const requests = this.busy.get(connection);
        if (requests === undefined) {
            return;
        }
        if (requests > 1) {
            this.busy.set(connection, requests - 1);
        }
        else {
            this.busy.delete(connection);
            this.idle.add(connection);
        }
    }

    /** A connection has been closed. */
    remove(connection: T): void {
        this.unused.delete(connection);
        this.idle.delete(connection);
        this.busy.delete(connection);
    }

    private get sockets(): number {
        return Math.max(0, this.options.maxDescriptors() - fileDescriptors);
    }

    private get setAside(): number {
        return Math.round(setAsideShare * this.sockets);
    }

    private makeRoom(): void {
        while (this.used > this.limit) {
            const connection = this.mostDispensable;
            if (connection === undefined) {
                return;
            }
            this.remove(connection);
            this.options.close(connection);
        }
    }

    private get mostDispensable(): T | undefined {
        const [oldest] = this.unused;
        if (oldest && this.now() - oldest[1] >= newConnectionMs) {
            return oldest[0];
        }
        const [idle] = this.idle;
        // The newest connection stays: its request may arrive at any moment.
        return idle ?? (this.unused.size > 1 ? oldest?.[0] : undefined);
    }
}
