import type { Socket } from "node:net";
import { connect, createServer, Socket as NetSocket } from "node:net";
import { portOf } from "./jsonServer";

/** What a cut does to connections that are open. */
export enum OpenLinks {
    /** Their bytes are dropped, and they stay open. */
    Silent = "silent",
    Reset = "reset",
    LiveOn = "live on",
}

/** What a cut does to new connections. */
export enum NewLinks {
    /** They are neither opened nor refused. */
    Hang = "hang",
    /** They open, and their bytes are dropped. */
    Silent = "open and stay silent",
    /** They open and are reset at once. */
    Reset = "are reset",
    Refused = "are refused",
}

/** A cut between nodes and upstreams. */
export interface LinkCut {
    readonly open: OpenLinks;
    readonly new: NewLinks;
}

interface Link {
    readonly source: string;
    readonly sockets: readonly [Socket, Socket];
    isSilent: boolean;
}

/** A loopback proxy in front of an upstream, which cuts off nodes by their source addresses. */
export class CutProxy {
    private readonly links = new Set<Link>();
    private readonly cuts = new Map<string, LinkCut>();
    private isPaused = false;

    private constructor(private readonly server: ReturnType<typeof createServer>) {}

    /** Starts a proxy in front of an upstream. */
    static async create(upstreamAddress: string): Promise<CutProxy> {
        const server = createServer();
        const proxy = new CutProxy(server);
        server.on("connection", socket => proxy.open(socket, Number(upstreamAddress.split(":")[1])));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
        return proxy;
    }

    get port(): number {
        return portOf(this.server as never);
    }

    get address(): string {
        return `127.0.0.1:${this.port}`;
    }

    /** Cuts a node off, or reconnects it: connections that were silent are reset then. */
    setCut(source: string, cut: LinkCut | undefined): void {
        const links = [...this.links].filter(link => link.source === source);
        if (cut) {
            this.cuts.set(source, cut);
        }
        else {
            this.cuts.delete(source);
        }
        links.forEach(link => {
            if (cut?.open === OpenLinks.Reset || (!cut && link.isSilent)) {
                link.sockets.forEach(socket => socket.resetAndDestroy());
            }
            link.isSilent = cut?.open === OpenLinks.Silent;
        });
    }

    /** Lets the upstream fall silent for all nodes: what is sent meanwhile arrives once it goes on. */
    setPaused(isPaused: boolean): void {
        this.isPaused = isPaused;
        this.links.forEach(({ sockets }) => sockets.forEach(socket => isPaused ? socket.pause() : socket.resume()));
    }

    close(): void {
        this.server.close();
        this.links.forEach(({ sockets }) => sockets.forEach(socket => socket.destroy()));
    }

    private open(socket: Socket, upstreamPort: number): void {
        const source = socket.remoteAddress ?? "";
        const cut = this.cuts.get(source);
        socket.on("error", () => undefined);
        if (cut?.new === NewLinks.Reset) {
            socket.resetAndDestroy();
            return;
        }
        const upstream = connect(upstreamPort, "127.0.0.1");
        const link: Link = { source, sockets: [socket, upstream], isSilent: cut?.new === NewLinks.Silent };
        this.links.add(link);
        for (const [from, to] of [[socket, upstream], [upstream, socket]] as const) {
            from.setNoDelay(true);
            from.on("data", chunk => void (link.isSilent || !to.writable || to.write(chunk)));
            from.on("end", () => void (link.isSilent || to.end()));
            from.on("error", () => void (link.isSilent || to.resetAndDestroy()));
            from.on("close", () => {
                this.links.delete(link);
                if (!link.isSilent) {
                    to.destroy();
                }
            });
            if (this.isPaused) {
                from.pause();
            }
        }
    }
}

/**
 * Source of a module that gives a process a source address of its own, and lets its new connections hang or be refused while a file says so. It is loaded before the
 * program.
 */
export const sourceAddressModule = (address: string, cutFile: string, closedPort: number): string => `
const net = require("node:net");
const { readFileSync } = require("node:fs");
const connect = net.Socket.prototype.connect;
const readCut = () => {
    try {
        return JSON.parse(readFileSync(${JSON.stringify(cutFile)}, "utf8"));
    }
    catch {
        return { ports: [] };
    }
};
net.Socket.prototype.connect = function (...args) {
    const options = Array.isArray(args[0]) ? args[0][0] : args[0];
    if (typeof options === "object" && options.path == null) {
        options.localAddress = ${JSON.stringify(address)};
        const { kind, ports } = readCut();
        if (ports.includes(Number(options.port))) {
            if (kind === ${JSON.stringify(NewLinks.Hang)}) {
                return this;
            }
            options.port = ${closedPort};
        }
    }
    return connect.apply(this, args);
};
`;

/** Lets new connections of this process to some ports hang; returns a function that ends that. */
export const hangNewConnections = (ports: readonly number[]): () => void => {
    const original = NetSocket.prototype.connect as (...args: unknown[]) => NetSocket;
    const hang = function(this: NetSocket, ...args: unknown[]): NetSocket {
        const [options] = Array.isArray(args[0]) ? args[0] as unknown[] : args;
        return ports.includes(Number((options as { readonly port?: unknown; }).port)) ? this : original.apply(this, args);
    };
    Object.defineProperty(NetSocket.prototype, "connect", { configurable: true, writable: true, value: hang });
    return () => void Object.defineProperty(NetSocket.prototype, "connect", { configurable: true, writable: true, value: original });
};
