import assert from "node:assert/strict";
import { get } from "node:http";
import { describe, it } from "node:test";
import { sleep } from "../src/utils/time";
import { callGateway } from "./fakes/gatewayHarness";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";

const graceS = 4;
const waitTimeoutMs = 10_000;
/** WebAssembly memory takes 8 GB of address space or more for its guard regions. */
const maxAddressMb = 4_000;
const watchMs = 4_000;
const checkIntervalMs = 100;
/** Known to the runtime from 20.15 on. */
const withoutGuardRegions = "--disable-wasm-trap-handler";

const statusOf = (address: string): Promise<number | undefined> =>
    new Promise(resolve => {
        get(`http://${address}/`, res => {
            res.resume();
            resolve(res.statusCode);
        }).on("error", () => resolve(undefined));
    });

const cases: readonly { readonly name: string; readonly options: readonly string[]; readonly serves: boolean; }[] = [
    { name: "isn't ready while its HTTP client cannot send anything", options: [], serves: false },
    ...process.allowedNodeEnvironmentFlags.has(withoutGuardRegions)
        ? [{ name: "serves without guard regions", options: [withoutGuardRegions], serves: true }]
        : [],
];

// Guards against a node that is ready where the memory of its HTTP client's parser cannot be reserved.
describe("a node within a small address space", () => {
    for (const { name, options, serves } of cases) {
        it(name, async () => {
            const upstream = await startScriptedUpstream((socket, { id }) => void socket.write(answerOf(id, "done")));
            const route = { name: "r", host: "shop.example", prefix: "/desk/", routeKind: "idempotent", timeoutMs: 3_000, service: "desk", attempts: 2 };
            const config = { routes: [route], services: [{ name: "desk", healthPath: "/h", maxConns: 100 }] };
            const rows = { u1: { service: "desk", addr: upstream.address, slots: 50 } };
            const node = await PlatformProcess.start(graceS, config, rows, undefined, undefined, [], "127.0.0.1", "a", undefined, options, maxAddressMb);
            const peer = await PlatformProcess.start(graceS, config, {}, node);
            const expected = serves ? 200 : 503;
            const isServing = async ({ front, ready }: PlatformProcess): Promise<boolean> =>
                (await callGateway(front)).status === 200 && (await statusOf(ready)) === 200;
            try {
                await waitFor("the peer serves", () => isServing(peer), waitTimeoutMs);
                await waitFor("the node answers", async () => (await statusOf(node.ready)) === expected, waitTimeoutMs);
                const until = performance.now() + watchMs;
                const seen = new Set<string>();
                while (performance.now() < until) {
                    seen.add(`ready ${await statusOf(node.ready)}, call ${(await callGateway(node.front)).status}`);
                    await sleep(checkIntervalMs);
                }
                assert.deepEqual([...seen], [`ready ${expected}, call ${expected}`]);
                assert.equal(node.process.exitCode ?? node.process.signalCode ?? undefined, undefined);
            }
            finally {
                [node, peer].forEach(each => each.close());
                upstream.close();
            }
        });
    }
});
