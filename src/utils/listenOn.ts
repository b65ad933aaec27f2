import type { Server } from "node:http";
import { EventId } from "../types/eventId";
import { emit } from "./events";
import { sleep } from "./time";
import { errorCodeOf } from "./transport";

/** A predecessor that is ending may hold the port for this long. */
const maxWaitMs = 3_000;
const retryPauseMs = 100;
/** New connections that the kernel keeps until they are accepted; it drops further ones, which their callers open again after seconds. */
const listenBacklog = 2_048;
const portInUseCode = "EADDRINUSE";

const tryListen = (server: Server, port: number, host: string): Promise<void> =>
    new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, listenBacklog, () => {
            server.off("error", reject);
            resolve();
        });
    });

/** Listens on an IP:PORT address; waits a while for a port that is still in use. */
export const listenOn = async (server: Server, address: string): Promise<void> => {
    const separator = address.lastIndexOf(":");
    const [host, port] = [address.slice(0, separator), Number(address.slice(separator + 1))];
    const givenUpAt = performance.now() + maxWaitMs;
    for (let attempt = 1;; attempt++) {
        try {
            await tryListen(server, port, host);
            return;
        }
        catch (err) {
            if (errorCodeOf(err) !== portInUseCode || performance.now() >= givenUpAt) {
                throw err;
            }
            if (attempt === 1) {
                emit(EventId.NodeStartRetried, { address, detail: portInUseCode });
            }
        }
        await sleep(retryPauseMs);
    }
};
