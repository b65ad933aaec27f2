import type { IncomingMessage, ServerResponse } from "node:http";

/** An HTTP request from a caller, operator or peer, and its answer. */
export interface HttpExchange {
    readonly requestId: string;
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly url: URL;
    readonly startedAt: number;
    /** Aborts when the client closes the connection before the answer has ended. */
    readonly signal: AbortSignal;
}

/** Handler of the requests under one path. */
export interface HttpRoute {
    /** A path, or a prefix that ends in `/`. */
    readonly path: string;
    readonly methods: readonly string[];
    readonly handle: (exchange: HttpExchange) => Promise<void> | void;
}
