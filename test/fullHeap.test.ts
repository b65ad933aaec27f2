import assert from "node:assert/strict";
import type { AddressInfo, Server, Socket } from "node:net";
import { connect, createServer } from "node:net";
import { describe, it } from "node:test";
import { sleep } from "../src/utils/time";
import { callGateway } from "./fakes/gatewayHarness";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";

/** Memory that a node of the platform may use, by its settings file. */
const memoryMb = 350;
const startTimeoutMs = 8_000;
const maxHeaderBytes = 65_536;
const headerBytes = 1_600;
/** For how long the node has to hold what its callers send. */
const holdMs = 4_000;
const rampCount = 100;
const rampPauseMs = 20;

/** A head of about a size, without its end. */
const headOf = (path: string, bytes: number): string => {
    const headers = [...Array(Math.floor(bytes / headerBytes)).keys()].map(index => `X-H${index}: ${"v".repeat(headerBytes - 10)}\r\n`);
    return `GET ${path} HTTP/1.1\r\nHost: shop.example\r\nDeadline-Ms: 9000\r\n${headers.join("")}`;
};

/** Callers that send the same bytes at once or nearly, and what they receive. */
class Callers {
    private readonly sockets: Socket[] = [];
    /** Number of answers by status; the first of each connection. */
    readonly statuses = new Map<string, number>();
    /** Refusals that do not say when to come again. */
    withoutRetryAfter = 0;

    async send(front: string, count: number, bytes: string): Promise<void> {
        const [host, port] = front.split(":");
        for (let index = 1; index <= count; index++) {
            const socket = connect(Number(port), host!);
            this.sockets.push(socket);
            socket.on("error", () => undefined);
            socket.once("data", (chunk: Buffer) => this.onAnswer(chunk.toString("latin1")));
            socket.write(bytes);
            if (index % rampCount === 0) {
                await sleep(rampPauseMs);
            }
        }
    }

    private onAnswer(head: string): void {
        const status = head.slice("HTTP/1.1 ".length, "HTTP/1.1 200".length);
        this.statuses.set(status, (this.statuses.get(status) ?? 0) + 1);
        if (status === "503" && !/^retry-after: /im.test(head)) {
            this.withoutRetryAfter++;
        }
    }

    leave(): void {
        this.sockets.forEach(socket => socket.destroy());
    }
}

const startSilentUpstream = async (): Promise<Server> => {
    const server = createServer(socket => {
        socket.resume();
        socket.on("error", () => undefined);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return server;
};

/** Guards against a heap that callers fill until the runtime ends the process, without a line and with the requests of all callers. */
describe("a node process whose callers fill its heap", () => {
    const cases: readonly { readonly name: string; readonly callers: number; readonly bytes: string; readonly refused?: boolean; }[] = [
        { name: "1,500 requests in progress with heads of 64 KB", callers: 1_500, bytes: `${headOf("/r/x", 63_000)}\r\n`, refused: true },
        { name: "1,000 connections with 500 requests sent ahead on each", callers: 1_000, bytes: `${headOf("/r/x", 0)}\r\n`.repeat(500) },
        { name: "3,000 idle connections whose requests had heads of 60 KB", callers: 3_000, bytes: `${headOf("/unknown", 60_000)}\r\n` },
    ];
    for (const { name, callers: count, bytes, refused } of cases) {
        it(`goes on and keeps within its memory: ${name}`, async () => {
            const upstream = await startSilentUpstream();
            const node = await PlatformProcess.start(
                8,
                {
                    limits: { maxHeaderBytes, maxBodyBytes: 10_000, headerTimeoutMs: 3_000, idleTimeoutMs: 9_000 },
                    routes: [{ name: "r", host: "shop.example", prefix: "/r/", routeKind: "idempotent", timeoutMs: 9_000, service: "s" }],
                    services: [{ name: "s", healthPath: "/h", maxConns: 5_000 }],
                },
                { u1: { service: "s", addr: `127.0.0.1:${(upstream.address() as AddressInfo).port}`, slots: 5_000 } },
            );
            const callers = new Callers();
            const isAnswering = async (): Promise<boolean> => (await callGateway(node.front, { path: "/unknown" })).status === 404;
            try {
                await waitFor("an answer", isAnswering, startTimeoutMs);
                await callers.send(node.front, count, bytes);
                await sleep(holdMs);
                assert.equal(node.process.exitCode ?? node.process.signalCode ?? "runs", "runs");
                assert.ok(node.peakMemoryMb <= memoryMb, `${Math.round(node.peakMemoryMb)} MB`);
                assert.equal(callers.withoutRetryAfter, 0, "refusals without Retry-After");
                assert.equal((callers.statuses.get("503") ?? 0) > 0, refused === true, JSON.stringify([...callers.statuses]));
                callers.leave();
                await waitFor("an answer after the callers have left", isAnswering, startTimeoutMs);
                await waitFor("heap that is given back", async () => await node.gauge("jackdawtrail_request_heap_bytes") === 0, startTimeoutMs);
            }
            finally {
                callers.leave();
                node.close();
                upstream.close();
            }
        });
    }
});

/** Guards against a heap that the directory's size fills: a controller that asks all runners for their reports at once holds a connection for each. */
describe("a node process with a large directory", () => {
    it("goes on and keeps within its memory: 5,000 runners that cannot be reached", async () => {
        const runnerCount = 5_000;
        const upstream = await startSilentUpstream();
        const { port } = upstream.address() as AddressInfo;
        const rowOf = (index: number): object => ({
            service: "s",
            addr: `127.1.${Math.floor(index / 250)}.${index % 250 + 1}:${port}`,
            slots: 8,
            models: [{ name: "m", version: 1 }],
        });
        const node = await PlatformProcess.start(
            8,
            {
                routes: [{ name: "r", host: "shop.example", prefix: "/r/", routeKind: "streaming", timeoutMs: 9_000, service: "s" }],
                services: [{
                    name: "s",
                    healthPath: "/h",
                    maxConns: 100,
                    engine: { slots: 8, kvCapacity: 100_000, models: [{ name: "m", weightsMb: 10, loadS: 5 }] },
                }],
            },
            Object.fromEntries([...Array(runnerCount).keys()].map(index => [`u${index}`, rowOf(index)])),
        );
        try {
            const isController = async (): Promise<boolean> => await node.gauge("jackdawtrail_controller_epoch") > 0;
            await waitFor("the lease", () => isController().catch(() => false), startTimeoutMs);
            await sleep(holdMs);
            assert.equal(node.process.exitCode ?? node.process.signalCode ?? "runs", "runs");
            assert.equal(await node.gauge("jackdawtrail_upstreams_known"), runnerCount);
            assert.ok(node.peakMemoryMb <= memoryMb, `${Math.round(node.peakMemoryMb)} MB`);
        }
        finally {
            node.close();
            upstream.close();
        }
    });
});
