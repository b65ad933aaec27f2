import type { Socket } from "node:net";
import { connect } from "node:net";
import { waitFor } from "./processes";

const answerTimeoutMs = 5_000;
const pollMs = 5;

const answerPattern = /HTTP\/1\.1 (\d+) [^\r]*\r\n(?:[^\r\n]+\r\n)*\r\n/g;

/** A caller's connection, on which requests are sent one after the other or together. */
export class KeptConnection {
    /** All bytes received. */
    bytes = "";
    isClosed = false;

    private constructor(private readonly socket: Socket) {
        socket.on("data", (chunk: Buffer) => this.bytes += chunk.toString("latin1"));
        socket.on("error", () => undefined);
        socket.once("close", () => this.isClosed = true);
    }

    static open(address: string): Promise<KeptConnection> {
        const colon = address.lastIndexOf(":");
        return new Promise(resolve => {
            const socket = connect(Number(address.slice(colon + 1)), address.slice(0, colon), () => resolve(new KeptConnection(socket)));
        });
    }

    /** Sends requests in one write. */
    send(...ids: readonly string[]): void {
        this.socket.write(
            ids.map(id => `POST /desk/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n`).join(""),
        );
    }

    /** Sends requests in one write, each with the key given. */
    sendKeyed(...requests: readonly { readonly id: string; readonly key: string | undefined; }[]): void {
        const toText = ({ id, key }: { readonly id: string; readonly key: string | undefined; }): string =>
            `POST /desk/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: ${id}\r\n${key === undefined ? "" : `X-Api-Key: ${key}\r\n`}Content-Length: 0\r\n\r\n`;
        this.socket.write(requests.map(toText).join(""));
    }

    /** Status codes of the answers whose heads have arrived. */
    get statuses(): readonly number[] {
        return [...this.bytes.matchAll(answerPattern)].map(([, status]) => Number(status));
    }

    /** Waits until a number of heads have arrived, or the connection is closed. */
    async waitForAnswers(count: number): Promise<void> {
        await waitFor(`answer ${count}`, () => this.statuses.length >= count || this.isClosed, answerTimeoutMs, pollMs);
    }

    /** Closes the sending side. */
    end(): void {
        this.socket.end();
    }

    close(): void {
        this.socket.destroy();
    }
}
