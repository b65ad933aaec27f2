import type { Socket } from "node:net";
import type { buildConnector } from "undici";
import { errors } from "undici";
import type { PunctualConnectorOptions } from "./punctualConnector";
import { createPunctualConnector } from "./punctualConnector";

/** Start of the codes of undici's own errors, such as that of a request which was aborted. */
const clientErrorPrefix = "UND_ERR";

const isClientError = (err: Error | undefined): boolean => err !== undefined && "code" in err && String(err.code).startsWith(clientErrorPrefix);

/** Makes the client's own end of a connection a reset; one that failed by itself is destroyed as usual. */
const resetOnDestroy = (socket: Socket): void => {
    const destroy = socket.destroy.bind(socket);
    let isReset = false;
    socket.destroy = err => {
        if (isReset || !isClientError(err)) {
            // A reset ends in a call without an error: the client would take it for the end of an answer without a length.
            return destroy(err ?? (isReset ? new errors.SocketError("reset") : undefined));
        }
        isReset = true;
        return socket.resetAndDestroy();
    };
};

/**
 * Creates a connector for connections that are reset when a request on them is given up. After an orderly close the kernel would go on sending the bytes of the request,
 * and a link that was cut meanwhile would deliver them once it has healed; a reset discards them.
 */
export const createResettingConnector = (options: PunctualConnectorOptions): buildConnector.connector => {
    const connect = createPunctualConnector(options);
    return (target, callback) =>
        connect(target, (...result) => {
            const [, socket] = result;
            if (socket) {
                resetOnDestroy(socket);
            }
            callback(...result);
        });
};
