import assert from "node:assert/strict";
import type { Server } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { PortGuard } from "../src/forward/portGuard";
import { EventId } from "../src/types/eventId";
import { GuardedPort } from "../src/types/guardedPort";
import { observeEvents } from "../src/utils/events";
import type { TestGateway } from "./fakes/gatewayHarness";
import { startGateway } from "./fakes/gatewayHarness";
import { waitFor } from "./fakes/processes";

const maxConnections = 3;
const maxBodyBytes = 100_000;

const post = (bytes: number, sentBytes = bytes): string => `POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${bytes}\r\n\r\n${"b".repeat(sentBytes)}`;
const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/** What clients send on a connection each, in this order, and which connections are then open; each answer comes once a body is complete. */
const cases: readonly { readonly name: string; readonly sent: readonly string[]; readonly open: readonly boolean[]; readonly reason?: string; }[] = [
    { name: "one request each", sent: [get, get], open: [true, true] },
    { name: "a whole body of the largest size", sent: [post(maxBodyBytes - 1_000)], open: [true] },
    { name: "a request behind another one", sent: [get + get, get], open: [false, true], reason: "pipelined" },
    { name: "bodies that are not complete", sent: [post(90_000, 60_000), post(90_000, 60_000)], open: [true, false], reason: "body" },
    { name: "an idle connection too many", sent: ["", "", "", get], open: [false, true, true, true], reason: "connections" },
];

/** Guards against clients of the ports that are not for callers that fill the memory of the process, and against a guard that closes ordinary ones. */
describe("the guard of a port that is not for callers", () => {
    let gateway: TestGateway;
    before(async () => {
        gateway = await startGateway([]);
    });
    after(() => gateway.close());

    for (const { name, sent, open, reason } of cases) {
        it(`${reason === undefined ? "serves" : "closes only what is too much"}: ${name}`, async () => {
            const server: Server = createServer((req, res) => {
                req.resume();
                req.once("end", () => setTimeout(() => res.end("done"), 20));
            });
            PortGuard.create(server, gateway.gateway, GuardedPort.Peers, { maxConnections, maxBodyBytes });
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
            const reasons: string[] = [];
            const stopObserving = observeEvents((event, fields) => event === EventId.PortConnectionsClosed && reasons.push(...Object.keys(fields)));
            const sockets: Socket[] = [];
            try {
                for (const text of sent) {
                    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
                    sockets.push(socket);
                    socket.on("error", () => undefined).resume();
                    await new Promise(resolve => socket.once("connect", resolve));
                    await new Promise<void>(resolve => text === "" ? resolve() : void socket.write(text, () => resolve()));
                    // Each is read before the next one is opened.
                    await new Promise(resolve => setTimeout(resolve, 100));
                }
                assert.deepEqual(sockets.map(({ destroyed, readableEnded }) => !destroyed && !readableEnded), open);
                if (reason !== undefined) {
                    await waitFor("a log line", () => reasons.includes(reason));
                }
            }
            finally {
                stopObserving();
                sockets.forEach(socket => socket.destroy());
                server.close();
            }
        });
    }
});
