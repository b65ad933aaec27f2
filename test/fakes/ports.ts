import type { Server } from "node:net";
import { createServer } from "node:net";

/** Ports below the range that the system assigns to outgoing connections, so that no connection takes one while its server is down. */
const firstPort = 12_000;
const portCount = 20_000;
/** Loopback address on which a reserved port stays bound; the other addresses remain free for its server. */
const guardHost = "127.0.0.9";
const serverHost = "127.0.0.1";

let nextPort = firstPort + process.pid * 61 % portCount;

const listenAt = (port: number, host: string): Promise<Server | undefined> =>
    new Promise(resolve => {
        const server = createServer().once("error", () => resolve(undefined));
        server.listen({ port, host, exclusive: true }, () => resolve(server));
    });

/**
 * Reserves a port on loopback for a server of this process or of one that it starts. The guard socket keeps other test processes from choosing
 * the port until this process ends.
 */
export const reservePort = async (): Promise<number> => {
    for (let attempt = 0; attempt < portCount; attempt++) {
        const port = nextPort;
        nextPort = firstPort + (nextPort + 1 - firstPort) % portCount;
        const guard = await listenAt(port, guardHost);
        if (!guard) {
            continue;
        }
        const probe = await listenAt(port, serverHost);
        if (probe) {
            guard.unref();
            await new Promise(resolve => probe.close(resolve));
            return port;
        }
        guard.close();
    }
    throw new Error(`no free port from ${firstPort} to ${firstPort + portCount}`);
};
