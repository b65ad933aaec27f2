import type { Server } from "node:http";
import { Server as NetServer } from "node:net";
import { mayListenLater } from "../core/listenErrors";
import { PassingWaits } from "../core/passingWaits";
import { EventId } from "../types/eventId";
import type { TryResult } from "../types/tryResult";
import { emit } from "./events";
import { describeError, errorCodeOf } from "./transport";

/** New connections that the kernel keeps until they are accepted; it drops further ones, which their callers open again after seconds. */
const listenBacklog = 2_048;

/** A server and the IP:PORT address that it listens on. */
export interface ServerPort {
    readonly server: Server;
    readonly address: string;
}

const tryListen = ({ server, address }: ServerPort): Promise<void> => {
    const separator = address.lastIndexOf(":");
    const host = address.slice(0, separator).replace(/^\[|\]$/g, "");
    return new Promise((resolve, reject) => {
        const finish = (end: () => void): void => {
            server.off("error", onError);
            server.off("listening", onListening);
            end();
        };
        const onError = (err: Error): void => finish(() => reject(err));
        const onListening = (): void => finish(resolve);
        server.on("error", onError);
        server.on("listening", onListening);
        try {
            server.listen(Number(address.slice(separator + 1)), host, listenBacklog);
        }
        catch (err) {
            finish(() => reject(err as Error));
        }
    });
};

/** The HTTP server's own method closes connections, too. */
const stopListening = ({ server }: ServerPort): unknown => NetServer.prototype.close.call(server);

/** Errors of a server that listens, such as those of accepting a connection, do not end its listener. */
const logErrors = ({ server, address }: ServerPort): void => {
    if (server.listenerCount("error") === 0) {
        server.on("error", err => {
            if (server.listening) {
                emit(EventId.UnexpectedError, { origin: `listener ${address}`, detail: describeError(err) });
            }
        });
    }
};

/**
 * Listens on all ports or on none, so that nobody is answered by a part of a node; waits as long as one of them cannot be used for a reason that may pass. Returns
 * false if the waits were aborted before.
 */
export const listenOnAll = async (ports: readonly ServerPort[], waits: PassingWaits): Promise<boolean> => {
    // The port that failed last is tried first: while it stays taken, the others are not opened at all.
    let order = ports;
    const tryOnce = async (): Promise<TryResult<boolean>> => {
        const open: ServerPort[] = [];
        for (const port of order) {
            try {
                await tryListen(port);
                open.push(port);
            }
            catch (err) {
                open.forEach(stopListening);
                const code = errorCodeOf(err);
                if (!mayListenLater(code)) {
                    throw err;
                }
                order = [port, ...ports.filter(other => other !== port)];
                return { kind: "waiting", reason: `${port.address}: ${code}` };
            }
        }
        return { kind: "done", value: true };
    };
    const isOpen = await waits.run(`ports ${ports.map(({ address }) => address).join(", ")}`, tryOnce) ?? false;
    if (isOpen && waits.signal.aborted) {
        ports.forEach(stopListening);
        return false;
    }
    if (isOpen) {
        ports.forEach(logErrors);
    }
    return isOpen;
};

/** Listens on an IP:PORT address; waits while it cannot be used for a reason that may pass. */
export const listenOn = async (server: Server, address: string): Promise<void> => {
    await listenOnAll([{ server, address }], PassingWaits.create());
};
