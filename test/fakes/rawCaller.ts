import { connect } from "node:net";

/** What a caller received that reads the bytes of its connection. */
export interface RawResult {
    readonly bytes: string;
    /** Whether the connection was reset; otherwise it was closed. */
    readonly wasReset: boolean;
}

/** Options of a caller that reads the bytes of its connection. */
export interface RawCall {
    readonly httpVersion: "1.0" | "1.1";
    readonly headers?: string;
    /** Time for which the caller reads nothing. */
    readonly pauseMs?: number;
}

/** Sends a request and reads its connection until that ends. */
export const callRaw = (address: string, { httpVersion, headers = "", pauseMs = 0 }: RawCall): Promise<RawResult> =>
    new Promise(resolve => {
        const colon = address.lastIndexOf(":");
        const socket = connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) });
        const chunks: string[] = [];
        let wasReset = false;
        socket.write(
            `POST /desk/x HTTP/${httpVersion}\r\nHost: shop.example\r\nAttempt-Id: id-1\r\nDeadline-Ms: 3000\r\n${headers}Content-Length: 0\r\n\r\n`,
        );
        socket.on("error", () => wasReset = true);
        socket.on("close", () => resolve({ bytes: chunks.join(""), wasReset }));
        setTimeout(() => socket.on("data", chunk => chunks.push(chunk.toString("latin1"))), pauseMs);
    });
