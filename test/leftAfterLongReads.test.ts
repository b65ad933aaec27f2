import assert from "node:assert/strict";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { UnfinishedHeads } from "../src/core/unfinishedHeads";
import { CallerPresence } from "../src/forward/callerPresence";
import { Departures } from "../src/forward/departures";
import { HeadWatch } from "../src/forward/headWatch";

const callers = 20;
/** Time that a read takes: more than a connection may take in a turn. */
const readMs = 2;
const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx";

const stall = (ms: number): void => {
    const until = performance.now() + ms;
    while (performance.now() < until) {
        /* busy */
    }
};

/** Guards against connections that wait so long after a read that the close behind it is read only when work has been done. */
describe("callers that leave right after a request whose read takes long", () => {
    it("are seen to have left before work is done for them", async () => {
        const departures = Departures.create();
        const found: boolean[] = [];
        const handle = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
            watch.end(req);
            const presence = CallerPresence.watch(req, res, departures);
            stall(readMs);
            await new Promise(resolve => req.resume().once("end", resolve));
            found.push(await presence.confirm());
            res.destroy();
        };
        const server = createServer((req, res) => void handle(req, res));
        const watch = HeadWatch.create(UnfinishedHeads.create<Socket>({ heapLimitBytes: () => 1e9 }), () => false, socket => socket.destroy());
        server.on("connection", (socket: Socket) => watch.open(socket));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
        const { port } = server.address() as AddressInfo;
        for (let index = 0; index < callers; index++) {
            const socket = connect(port, "127.0.0.1", () => socket.end(request));
            socket.on("error", () => undefined).resume();
            await new Promise(resolve => socket.once("close", resolve));
        }
        server.close();
        assert.deepEqual(found, Array(callers).fill(false));
    });
});
