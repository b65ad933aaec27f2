import assert from "node:assert/strict";
import { request } from "node:http";
import type { Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { MemoryHolder } from "../src/types/memoryHolder";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import { startGateway } from "./fakes/gatewayHarness";
import { chunkOf, startScriptedUpstream } from "./fakes/scriptedUpstream";

const timeoutMs = 6_000;
/** Time in which the caller has what was sent, long before the timeout. */
const maxMs = 4_500;
const pauseMs = 2_500;
const event = `data: ${"x".repeat(10_000)}\n\n`;

const headOf = (id: string, connection: string): string =>
    `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\nConnection: ${connection}\r\nTransfer-Encoding: chunked\r\n\r\n`;

/** A caller that reads its stream after a pause; resolves with the time at which it ended. */
const readLate = (address: string): Promise<number> =>
    new Promise(resolve => {
        const [host, port] = address.split(":");
        const startedAt = performance.now();
        const end = (): void => resolve(performance.now() - startedAt);
        const headers = { host: "shop.example", "attempt-id": "id-1", "deadline-ms": String(timeoutMs) };
        const req = request({ host, port, method: "POST", path: "/desk/x", headers, agent: false }, res => {
            res.pause();
            res.on("error", end);
            res.on("close", end);
            setTimeout(() => res.resume(), pauseMs);
        });
        req.on("error", end);
        req.end();
    });

/** Guards against an assertion of the HTTP client that leaves an attempt without an end. */
describe("an upstream that ends while it is paused for a slow caller", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    const ends: Readonly<Record<string, (socket: Socket) => void>> = {
        "a reset": socket => socket.resetAndDestroy(),
        "an orderly close": socket => socket.end(),
    };
    for (const [name, end] of Object.entries(ends)) {
        for (const connection of ["close", "keep-alive"]) {
            it(`ends the attempt: ${name}, Connection: ${connection}`, async () => {
                const connections: Socket[] = [];
                const upstream = await startScriptedUpstream((socket, { id }) => {
                    connections.push(socket);
                    socket.write(headOf(id, connection));
                });
                const node = await startGateway([upstream.address], { kind: RouteKind.Streaming, timeoutMs, maxAttempts: 1 });
                const isPaused = (): boolean => node.gateway.memory.usedBy(MemoryHolder.UntakenEvents) > 0;
                const writing = setInterval(() => {
                    if (isPaused()) {
                        clearInterval(writing);
                        connections.forEach(end);
                    }
                    else {
                        connections.forEach(socket => socket.write(chunkOf(event)));
                    }
                }, 2);
                const afterMs = await readLate(node.address);
                clearInterval(writing);
                node.close();
                upstream.close();
                assert.ok(afterMs < maxMs, `${Math.round(afterMs)} ms`);
            });
        }
    }
});
