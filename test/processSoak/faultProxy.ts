import type { Server, Socket } from "node:net";
import { connect, createServer } from "node:net";
import type { Random } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import { portOf } from "../fakes/jsonServer";

/** How a proxy treats the connections through it. */
export enum LinkFault {
    None = "none",
    /** Bytes come late, in both directions. */
    Delay = "delay",
    /** Connections are reset, and new ones too. */
    Reset = "reset",
    /** Answers are lost; requests arrive. */
    OneWay = "one-way",
    /** Nothing passes, and nobody is told. */
    Silent = "silent",
}

const delayMs = 120;

/** A loopback proxy in front of one address, which harms its connections on demand. */
export class FaultProxy {
    fault = LinkFault.None;
    private readonly sockets = new Set<Socket>();
    /** Sockets to which bytes were lost. */
    private readonly muted = new WeakSet<Socket>();

    private constructor(private readonly server: Server) {}

    /** Starts a proxy in front of a port of loopback. */
    static async create(targetPort: number): Promise<FaultProxy> {
        const server = createServer();
        const proxy = new FaultProxy(server);
        server.on("connection", socket => proxy.join(socket, targetPort));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
        return proxy;
    }

    get address(): string {
        return `127.0.0.1:${portOf(this.server as never)}`;
    }

    /** Sets the fault; connections that were silent stay so, as after a cut. */
    setFault(fault: LinkFault, random: Random): void {
        if (fault === LinkFault.Reset) {
            this.sockets.forEach(socket => socket.resetAndDestroy());
        }
        if (this.fault === LinkFault.Silent && random() < 0.5) {
            this.sockets.forEach(socket => socket.destroy());
        }
        this.fault = fault;
    }

    close(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    private join(near: Socket, targetPort: number): void {
        if (this.fault === LinkFault.Reset) {
            near.resetAndDestroy();
            return;
        }
        const far = connect(targetPort, "127.0.0.1");
        for (const [from, to, isAnswer] of [[near, far, false], [far, near, true]] as const) {
            this.sockets.add(from);
            from.setNoDelay(true);
            // Bytes stay in order, also where the fault changes between them.
            let last = Promise.resolve();
            const inTurn = (step: () => void, ms: number): void => {
                last = last.then(() => sleep(ms)).then(step);
            };
            from.on("data", chunk => this.pass(chunk, to, isAnswer, inTurn));
            from.on("end", () => inTurn(() => void to.end(), 0));
            from.on("error", () => to.destroy());
            from.on("close", () => {
                this.sockets.delete(from);
                to.destroy();
            });
        }
    }

    private pass(chunk: Buffer, to: Socket, isAnswer: boolean, inTurn: (step: () => void, ms: number) => void): void {
        if (this.fault === LinkFault.Silent || (this.fault === LinkFault.OneWay && isAnswer)) {
            // A connection that lost bytes carries nothing further.
            to.pause();
            this.muted.add(to);
        }
        if (!this.muted.has(to)) {
            inTurn(() => void (to.writable && to.write(chunk)), this.fault === LinkFault.Delay ? delayMs : 0);
        }
    }
}
