import type { IncomingMessage, ServerResponse } from "node:http";

/** One HTTP request of a caller, operator or peer, and its response. */
export interface HttpExchange {
    readonly requestId: string;
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly url: URL;
    readonly startedAt: number;
    /** Aborts when the other side closes the connection before the response ended. */
    readonly signal: AbortSignal;
}

/** A handler of the exchanges under one path. */
export interface HttpRoute {
    /** A path, or a prefix that ends in `/`. */
    readonly path: string;
    readonly methods: readonly string[];
    readonly handle: (exchange: HttpExchange) => Promise<void> | void;
}
