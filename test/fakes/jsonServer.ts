import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { json } from "node:stream/consumers";

/** Returns the JSON body of the answer, a `StatusResponse`, or `alreadyAnswered`. */
export type Handler = (call: HandlerInput) => Promise<unknown> | unknown;

/** A request to a stand-in, as its handler receives it. */
export interface HandlerInput {
    readonly body: unknown;
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly url: URL;
}

/** An answer with a given status. */
export class StatusResponse {
    constructor(readonly code: number, readonly value: unknown = {}) {}
}

/** Returned by a handler that wrote the answer or cut the connection itself. */
export const alreadyAnswered = Symbol("answered");

/** Serves JSON on loopback. The key of a handler is "METHOD /path", or "METHOD /segment/" for all paths that begin with this segment. */
export const serveJson = (port: number, handlers: Readonly<Record<string, Handler>>): Promise<Server> => {
    const server = createServer((req, res) => {
        void (async () => {
            const url = new URL(req.url ?? "/", "http://fake");
            const prefix = `${req.method ?? ""} /${url.pathname.split("/")[1]}/`;
            const handler = handlers[`${req.method ?? ""} ${url.pathname}`] ?? handlers[prefix] ?? (() => new StatusResponse(404));
            const body = req.method === "GET" ? undefined : await json(req).catch(() => undefined);
            const value = await handler({ body, req, res, url });
            if (value === alreadyAnswered || res.destroyed) {
                return;
            }
            const { code, value: content } = value instanceof StatusResponse ? value : new StatusResponse(200, value);
            res.writeHead(code, { "content-type": "application/json" });
            res.end(content === undefined ? "" : JSON.stringify(content));
        })().catch((err: unknown) => {
            process.stderr.write(`${String(err)}\n`);
            res.destroy();
        });
    });
    return new Promise(resolve => server.listen(port, "127.0.0.1", () => resolve(server)));
};

/** The port on which a server listens. */
export const portOf = (server: Server): number => (server.address() as { port: number; }).port;
