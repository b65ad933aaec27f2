import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { callGateway } from "./fakes/gatewayHarness";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";

const startTimeoutMs = 8_000;
const idleCallers = 7;

/** Guards against a node whose connections and memory cannot be seen before they run out. */
describe("the metrics of a node process", () => {
    it("show connections, descriptors, memory and the delay of the event loop", async () => {
        const upstream = await startScriptedUpstream((socket, { id }) => void socket.write(answerOf(id, "done")));
        const route = { name: "a", host: "shop.example", prefix: "/a/", routeKind: "idempotent", timeoutMs: 3_000, service: "a", attempts: 1 };
        const node = await PlatformProcess.start(
            8,
            { routes: [route], services: [{ name: "a", healthPath: "/h", maxConns: 100 }] },
            { u1: { service: "a", addr: upstream.address, slots: 8 } },
        );
        const [host, port] = node.front.split(":");
        const sockets: Socket[] = [];
        try {
            await waitFor("an answer", async () => (await callGateway(node.front, { path: "/a/x" })).status === 200, startTimeoutMs);
            sockets.push(...[...Array(idleCallers).keys()].map(() => connect({ host, port: Number(port) })));
            await waitFor("idle connections", async () => await node.gauge("jackdawtrail_caller_connections") === idleCallers, startTimeoutMs);
            await callGateway(node.front, { path: "/a/x" });
            assert.equal(await node.gauge("jackdawtrail_upstream_connections"), 1);
            for (const name of ["process_open_fds", "process_resident_memory_bytes", "nodejs_external_memory_bytes", "nodejs_eventloop_lag_p99_seconds"]) {
                assert.ok(await node.gauge(name) > 0, name);
            }
        }
        finally {
            sockets.forEach(socket => socket.destroy());
            node.close();
            upstream.close();
        }
    });
});
