/** Callbacks of the runtime's parser, by their numbers. */
export enum ParserCallback {
    MessageBegin = 0,
    Headers = 1,
    HeadersEnd = 2,
    Body = 3,
    MessageEnd = 4,
    Execute = 5,
}

type Callback = ((...args: unknown[]) => unknown) | undefined;

/** The runtime's parser of a connection, which is not documented. */
export type RuntimeParser = { [callback in ParserCallback]?: Callback; } & {
    /** Headers that have been read, names and values alternating. */
    _headers?: readonly string[];
    /** Parses bytes; returns their number or an error. */
    execute?(bytes: Buffer): unknown;
};

/** The callbacks that the runtime sets once for each parser, which it uses for one connection after the other. It sets the others for each connection. */
const lastingCallbacks = [ParserCallback.Headers, ParserCallback.HeadersEnd, ParserCallback.Body, ParserCallback.MessageEnd] as const;
type LastingCallbacks = { [callback in typeof lastingCallbacks[number]]?: Callback; };

/** The runtime's own lasting callbacks of parsers. */
const ownCallbacks = new WeakMap<RuntimeParser, LastingCallbacks>();

/** The runtime's own lasting callbacks. A parser that the runtime took back before the close of its connection still has the wrappers of that one. */
export const ownCallbacksOf = (parser: RuntimeParser): LastingCallbacks => {
    const known = ownCallbacks.get(parser);
    if (known) {
        return known;
    }
    const own = Object.fromEntries(lastingCallbacks.map(callback => [callback, parser[callback]])) as LastingCallbacks;
    ownCallbacks.set(parser, own);
    return own;
};

/** Sets callbacks for a connection, and the runtime's own for those that are not named; returns how to take them back. */
export const wrapCallbacks = (parser: RuntimeParser, wrappers: LastingCallbacks): () => void => {
    const own = ownCallbacksOf(parser);
    const set: LastingCallbacks = { ...own, ...wrappers };
    Object.assign(parser, set);
    return () => {
        for (const callback of lastingCallbacks) {
            if (parser[callback] === set[callback] || parser[callback] === undefined) {
                parser[callback] = own[callback];
            }
        }
    };
};

/** Lets a parser whose callbacks are wrapped announce nothing more of its connection. */
export const muteParser = (parser: RuntimeParser): void => {
    if (ownCallbacks.has(parser)) {
        lastingCallbacks.forEach(callback => parser[callback] = undefined);
        parser[ParserCallback.MessageBegin] = undefined;
    }
};
