import type { Socket } from "node:net";
import { connect } from "node:net";
import { sleep } from "../../src/utils/time";

const rampCount = 100;
const rampPauseMs = 20;
/** Retry-After of a refused head. */
const retryAfterMs = 1_000;

/** Callers that each send the same bytes and then nothing; those whose connections are closed may come again. */
export class HeadSenders {
    private readonly sockets = new Set<Socket>();
    private hasLeft = false;
    /** Number of connections that were closed. */
    closed = 0;
    /** Number of first answers by status. */
    readonly statuses = new Map<string, number>();

    private constructor(private readonly address: string, private readonly bytes: Buffer, private readonly comesAgain: boolean) {}

    static create(address: string, bytes: string, comesAgain = false): HeadSenders {
        return new HeadSenders(address, Buffer.from(bytes), comesAgain);
    }

    /** Opens connections and sends, some at a time. */
    async send(count: number): Promise<void> {
        await this.open(count, true);
    }

    /** Sends on all open connections at once. */
    sendAll(): void {
        this.sockets.forEach(socket => socket.write(this.bytes));
    }

    /** Opens connections, some at a time. */
    async open(count: number, sends = false): Promise<void> {
        for (let index = 1; index <= count; index++) {
            this.openOne(sends);
            if (index % rampCount === 0) {
                await sleep(rampPauseMs);
            }
        }
    }

    private openOne(sends: boolean): void {
        const [host, port] = this.address.split(":");
        const socket = connect(Number(port), host!);
        this.sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("data", (chunk: Buffer) => {
            const status = chunk.toString("latin1").slice("HTTP/1.1 ".length, "HTTP/1.1 200".length);
            this.statuses.set(status, (this.statuses.get(status) ?? 0) + 1);
        });
        socket.on("close", () => {
            this.closed++;
            this.sockets.delete(socket);
            if (this.comesAgain && !this.hasLeft) {
                setTimeout(() => this.hasLeft || this.openOne(true), retryAfterMs);
            }
        });
        if (sends) {
            socket.write(this.bytes);
        }
    }

    /** Closes all connections. */
    leave(): void {
        this.hasLeft = true;
        this.sockets.forEach(socket => socket.destroy());
    }
}
