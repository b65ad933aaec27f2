import type { IncomingMessage } from "node:http";
import type { RequestHeaderCodec } from "../types/requestHeaderCodec";
import { relayHeader, relayReportHeader } from "./relayHeaders";

/** Hop-by-hop headers, which are not forwarded. */
const connectionHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    // Set again from the body that is sent.
    "content-length",
]);

/** Headers between nodes, which are not forwarded either. */
const nodeHeaders: ReadonlySet<string> = new Set([relayHeader, relayReportHeader]);

const headersNamedByConnection = (req: IncomingMessage): ReadonlySet<string> =>
    new Set((req.headers.connection ?? "").split(",").map(name => name.trim().toLowerCase()));

/** Headers of a caller's request that are forwarded to the upstream, names and values alternating. */
export const headersToForward = (req: IncomingMessage, wire: RequestHeaderCodec): string[] => {
    const dropped = headersNamedByConnection(req);
    const forwarded: string[] = [];
    for (let index = 0; index < req.rawHeaders.length; index += 2) {
        const name = req.rawHeaders[index]!.toLowerCase();
        const isDropped = connectionHeaders.has(name) || nodeHeaders.has(name) || wire.isSystemHeader(name) ||
            (dropped.has(name) && !wire.isEndToEndHeader(name));
        if (!isDropped) {
            forwarded.push(req.rawHeaders[index]!, req.rawHeaders[index + 1]!);
        }
    }
    return forwarded;
};

/** Size of a request's headers. */
export const headerBytes = (req: IncomingMessage): number => req.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);

/** Whether a request lacks the Host header that HTTP/1.1 demands. */
export const lacksHost = ({ httpVersion, headers }: IncomingMessage): boolean => httpVersion === "1.1" && headers.host === undefined;

/** Host that a request names, without its port. */
export const hostOf = (req: IncomingMessage): string => (req.headers.host ?? "").replace(/:\d+$/, "");
