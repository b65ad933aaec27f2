import { request } from "node:http";
import type { ServiceSpec } from "../types/servingConfig";
import type { UpstreamServer } from "../types/upstreamServer";
import type { UpstreamWord } from "../types/upstreamWord";
import { decodeUpstreamWord } from "./upstreamWordDecoder";

const reportPath = "/api/report";

/** Asks an upstream over a new connection: a runner for its report, another upstream for its health. Resolves with the head of any answer. */
export const askUpstream = (
    { id, address }: UpstreamServer,
    { engine, healthPath }: ServiceSpec,
    signal: AbortSignal,
    onOpened: () => void,
): Promise<UpstreamWord> =>
    new Promise((resolve, reject) => {
        const colon = address.lastIndexOf(":");
        const req = request({
            host: address.slice(0, colon),
            port: Number(address.slice(colon + 1)),
            path: engine ? reportPath : healthPath,
            headers: { "expect-instance": id },
            agent: false,
            signal,
        });
        req.once("socket", socket => socket.once("connect", onOpened));
        req.once("response", res => {
            resolve(decodeUpstreamWord(res.statusCode ?? 0, res.headers));
            // What follows the head is not needed; closing its connection reports an error, which is not one of the upstream.
            res.on("error", () => undefined);
            res.destroy();
        });
        req.on("error", reject);
        req.end();
    });
