import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { sleep } from "../src/utils/time";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";

const memoryMb = 350;
const startTimeoutMs = 8_000;
const holdMs = 4_000;
const request = "GET /metrics HTTP/1.1\r\nHost: node\r\n\r\n";

/** Guards against a heap that unread metrics fill until the runtime ends the process. */
describe("a node process whose metrics are not read", () => {
    const cases: readonly { readonly name: string; readonly readers: number; readonly requests: number; }[] = [
        { name: "300 readers with one request each", readers: 300, requests: 1 },
        { name: "20 readers with 500 requests each", readers: 20, requests: 500 },
    ];
    for (const { name, readers, requests } of cases) {
        it(`goes on and keeps within its memory: ${name}`, async () => {
            const node = await PlatformProcess.start(8, { routes: [], services: [] }, {});
            const sockets: Socket[] = [];
            const isServed = (): Promise<boolean> => node.gauge("jackdawtrail_heap_limit_bytes").then(limit => limit > 0, () => false);
            try {
                await waitFor("metrics", isServed, startTimeoutMs);
                for (let count = 0; count < readers; count++) {
                    const socket = connect(node.metricsPort, "127.0.0.1");
                    socket.on("error", () => undefined);
                    socket.pause();
                    socket.write(request.repeat(requests));
                    sockets.push(socket);
                }
                await sleep(holdMs);
                assert.equal(node.process.exitCode ?? node.process.signalCode ?? "runs", "runs");
                assert.ok(node.peakMemoryMb <= memoryMb, `${Math.round(node.peakMemoryMb)} MB`);
                await waitFor("metrics", isServed, startTimeoutMs);
            }
            finally {
                sockets.forEach(socket => socket.destroy());
                node.close();
            }
        });
    }
});
