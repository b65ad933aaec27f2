import type { Socket } from "node:net";
import type { RuntimeParser } from "./runtimeParser";
import { muteParser } from "./runtimeParser";

/**
 * Closes a connection at once. The parser goes on to the end of what has been received: thousands of further requests would be announced, and stay until the turn of
 * the event loop ends, which they would delay.
 */
export const cutParsing = (socket: Socket): void => {
    const { parser } = socket as Socket & { readonly parser?: RuntimeParser; };
    if (parser) {
        muteParser(parser);
    }
    socket.destroy();
};
