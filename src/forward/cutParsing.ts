import type { Socket } from "node:net";

/** A connection with the runtime's parser of it, which is not documented. */
type ParsedSocket = Socket & { readonly parser?: { onIncoming: () => number; }; };

/** Closes a connection at once. The parser goes on to the end of what has been received, and all that it announces would stay until the turn of the event loop ends. */
export const cutParsing = (socket: Socket): void => {
    const { parser } = socket as ParsedSocket;
    if (parser) {
        parser.onIncoming = () => 0;
    }
    socket.destroy();
};
