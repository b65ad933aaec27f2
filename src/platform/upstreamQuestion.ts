import { Socket } from "node:net";
import type { buildConnector } from "undici";
import { Client } from "undici";
import type { ServiceSpec } from "../types/servingConfig";
import type { UpstreamServer } from "../types/upstreamServer";
import type { UpstreamWord } from "../types/upstreamWord";
import { createPunctualConnector } from "../utils/punctualConnector";
import { decodeUpstreamWord } from "./upstreamWordDecoder";

const reportPath = "/api/report";
/** Paths that can be sent. Any answer shows that the upstream is reached, so another path is asked for in place of one that cannot. */
const validPath = /^\/[\u0021-\u00ff]*$/;
/** The signal usually ends a connection attempt earlier. */
const connectTimeoutMs = 1_000;
const maxHeadBytes = 16_384;

const endedConnection = [Object.assign(new Error("the connection ended"), { code: "ECONNRESET" })] as unknown as buildConnector.CallbackArgs;

/**
 * Asks an upstream over a new connection: a runner for its report, another upstream for its health. Resolves with the head of any answer. The HTTP client is that of
 * requests: an answer shows that it works.
 */
export const askUpstream = async (
    { id, address }: UpstreamServer,
    { engine, healthPath }: ServiceSpec,
    signal: AbortSignal,
    onOpened: () => void,
): Promise<UpstreamWord> => {
    const connect = createPunctualConnector({ timeout: connectTimeoutMs, keepAlive: false });
    let socket: Socket | undefined;
    const client = new Client(`http://${address}`, {
        connect: (options, callback) => {
            if (socket) {
                // The client connects again if its connection ended before the request was sent.
                queueMicrotask(() => callback(...endedConnection));
                return;
            }
            const opening: unknown = connect(options, (...result) => {
                if (result[1]) {
                    onOpened();
                }
                callback(...result);
            });
            socket = opening instanceof Socket ? opening : undefined;
        },
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
        maxHeaderSize: maxHeadBytes,
    });
    // The client notices the abort of a request only once its connection is open.
    const giveUp = (): void => {
        const err = Object.assign(new Error("the time for an answer is over"), { code: "ABORT_ERR" });
        void client.destroy(err);
        socket?.destroy(err);
    };
    signal.addEventListener("abort", giveUp);
    try {
        const path = engine ? reportPath : validPath.test(healthPath) ? healthPath : "/";
        const { statusCode, headers, body } = await client.request({ method: "GET", path, headers: { "expect-instance": id } });
        // What follows the head is not needed; closing its connection reports an error, which is not one of the upstream.
        body.on("error", () => undefined);
        return decodeUpstreamWord(statusCode, headers);
    }
    finally {
        signal.removeEventListener("abort", giveUp);
        void client.destroy();
        // The client does not know the socket of a connection that is being opened.
        socket?.destroy();
    }
};
