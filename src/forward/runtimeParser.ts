/** Callbacks of the runtime's parser, by their numbers. */
export enum ParserCallback {
    MessageBegin = 0,
    Body = 3,
    MessageEnd = 4,
    Execute = 5,
}

type Callback = ((...args: unknown[]) => unknown) | null;

/** The runtime's parser of a connection, which is not documented. */
export interface RuntimeParser {
    [ParserCallback.MessageBegin]?: Callback;
    [ParserCallback.Body]?: Callback;
    [ParserCallback.MessageEnd]?: Callback;
    [ParserCallback.Execute]?: Callback;
    /** Headers that have been read, names and values alternating. */
    _headers?: readonly string[];
    /** Whether it reads its connection itself, and tells by `Execute` when it has parsed what one read gave. */
    _consumed?: boolean;
}

/** The runtime's own callbacks of one parser. */
type OwnCallbacks = Pick<RuntimeParser, ParserCallback.Body | ParserCallback.MessageEnd>;

/** The callbacks that the runtime sets once for each parser, not for each connection of it. */
const lastingCallbacks = [ParserCallback.Body, ParserCallback.MessageEnd] as const;

/** Wraps the callbacks of parsers for the time of a connection. The runtime uses parsers again, and resets all callbacks but the lasting ones. */
export class ParserCallbacks {
    private readonly own = new WeakMap<RuntimeParser, OwnCallbacks>();

    private constructor() {}

    static create(): ParserCallbacks {
        return new ParserCallbacks();
    }

    /** The runtime's own lasting callbacks. A parser that the runtime took back before the close of its connection still has the wrappers of that one. */
    ownOf(parser: RuntimeParser): OwnCallbacks {
        const known = this.own.get(parser);
        if (known) {
            return known;
        }
        const own = { [ParserCallback.Body]: parser[ParserCallback.Body], [ParserCallback.MessageEnd]: parser[ParserCallback.MessageEnd] };
        this.own.set(parser, own);
        return own;
    }

    /** Sets wrappers of the lasting callbacks; returns how to take them back. */
    wrap(parser: RuntimeParser, wrappers: OwnCallbacks): () => void {
        const own = this.ownOf(parser);
        lastingCallbacks.forEach(callback => parser[callback] = wrappers[callback]);
        return () => {
            for (const callback of lastingCallbacks) {
                if (parser[callback] === wrappers[callback]) {
                    parser[callback] = own[callback];
                }
            }
        };
    }
}
