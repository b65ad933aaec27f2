import type { Server, Socket } from "node:net";
import { connect, createServer } from "node:net";
import type { Random } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import { portOf } from "../fakes/jsonServer";
import { reservePort } from "../fakes/ports";

/** Faults of the connections through a proxy. */
export enum LinkFault {
    None = "none",
    /** Bytes are delayed in both directions. */
    Delay = "delay",
    /** Open and new connections are reset. */
    Reset = "reset",
    /** Requests are forwarded, answers are dropped. */
    OneWay = "one-way",
    /** Bytes are dropped in both directions, and connections stay open. */
    Silent = "silent",
}

const injectedDelayMs = 120;

/** Resets a connection; one that is still being opened, or was ended already, cannot be reset and would stay open. */
const reset = (socket: Socket): void => {
    if (socket.connecting || socket.writableEnded) {
        socket.destroy();
        return;
    }
    socket.resetAndDestroy();
};

/** A loopback proxy in front of one address, with faults injected on demand. */
export class FaultProxy {
    fault = LinkFault.None;
    private readonly sockets = new Set<Socket>();
    /** Sockets for which bytes were dropped. */
    private readonly lossySockets = new WeakSet<Socket>();

    private constructor(private readonly server: Server) {}

    /** Starts a proxy in front of a port on loopback. */
    static async create(targetPort: number): Promise<FaultProxy> {
        const server = createServer();
        const proxy = new FaultProxy(server);
        server.on("connection", socket => proxy.connectThrough(socket, targetPort));
        const port = await reservePort();
        await new Promise<void>(resolve => server.listen(port, "127.0.0.1", () => resolve()));
        return proxy;
    }

    get address(): string {
        return `127.0.0.1:${portOf(this.server as never)}`;
    }

    /**
     * Sets the fault. When `Silent` ends, all connections are closed in half of the cases; otherwise those that lost bytes stay silent, as
     * after a network partition.
     */
    setFault(fault: LinkFault, random: Random): void {
        if (fault === LinkFault.Reset) {
            this.sockets.forEach(reset);
        }
        if (this.fault === LinkFault.Silent && random() < 0.5) {
            this.sockets.forEach(reset);
        }
        this.fault = fault;
    }

    close(): void {
        this.server.close();
        this.sockets.forEach(reset);
    }

    private connectThrough(clientSocket: Socket, targetPort: number): void {
        if (this.fault === LinkFault.Reset) {
            reset(clientSocket);
            return;
        }
        const targetSocket = connect(targetPort, "127.0.0.1");
        for (const [from, to, isAnswer] of [[clientSocket, targetSocket, false], [targetSocket, clientSocket, true]] as const) {
            this.sockets.add(from);
            from.setNoDelay(true);
            // Keeps the bytes in order, also when the fault changes between them.
            let previousStep = Promise.resolve();
            const enqueueStep = (step: () => void, ms: number): void => {
                previousStep = previousStep.then(() => sleep(ms)).then(step);
            };
            from.on("data", chunk => this.forwardChunk(chunk, to, isAnswer, enqueueStep));
            // An end without a reset would make an answer without a length look complete, so it follows all bytes, and none of them may be lost.
            from.on("end", () => enqueueStep(() => void (this.lossySockets.has(to) || to.end()), 0));
            from.on("error", () => reset(to));
            from.on("close", () => {
                this.sockets.delete(from);
                enqueueStep(() => this.lossySockets.has(to) ? reset(to) : to.destroy(), 0);
            });
        }
    }

    private forwardChunk(chunk: Buffer, to: Socket, isAnswer: boolean, enqueueStep: (step: () => void, ms: number) => void): void {
        if (this.fault === LinkFault.Silent || (this.fault === LinkFault.OneWay && isAnswer)) {
            // Once bytes were dropped, nothing further is forwarded to this socket.
            to.pause();
            this.lossySockets.add(to);
        }
        if (!this.lossySockets.has(to)) {
            enqueueStep(() => void (to.writable && to.write(chunk)), this.fault === LinkFault.Delay ? injectedDelayMs : 0);
        }
    }
}
