import { Socket } from "node:net";
import { buildConnector, errors } from "undici";
import { readPacer } from "./readPacer";

/** Options of a connector whose attempts end after a time. */
export type PunctualConnectorOptions = buildConnector.BuildOptions & { readonly timeout: number; };

/** Creates a connector of paced connections whose attempts end after their timeout. The timer of undici's own has a resolution of half a second, and ends them after one second. */
export const createPunctualConnector = ({ timeout, ...options }: PunctualConnectorOptions): buildConnector.connector => {
    const connect = buildConnector({ ...options, timeout: 0 });
    return (target, callback) => {
        let isSettled = false;
        const socket: unknown = connect(target, (...result) => {
            isSettled = true;
            clearTimeout(timer);
            if (result[1]) {
                readPacer.pace(result[1]);
            }
            callback(...result);
        });
        const giveUp = (): void => {
            if (!isSettled && socket instanceof Socket) {
                socket.destroy(new errors.ConnectTimeoutError(`no connection within ${timeout} ms`));
            }
        };
        // What has arrived by the end of the timer is read first: the connection may be open.
        const timer = setTimeout(() => setImmediate(giveUp), timeout);
        return socket;
    };
};
