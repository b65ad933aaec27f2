import assert from "node:assert/strict";
import { get } from "node:http";
import { describe, it } from "node:test";
import { sleep } from "../src/utils/time";
import { BrokenClient } from "./fakes/brokenClient";
import { callGateway } from "./fakes/gatewayHarness";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";

const waitTimeoutMs = 8_000;
const graceS = 4;
/** Time in which a node must know that it reaches nothing. */
const maxLossMs = 2_500;
const callIntervalMs = 20;
/** Readiness checks after that time, none of which may succeed. */
const checks = 20;
const checkIntervalMs = 100;

const statusOf = (address: string): Promise<number | undefined> =>
    new Promise(resolve => {
        get(`http://${address}/`, res => {
            res.resume();
            resolve(res.statusCode);
        }).on("error", () => resolve(undefined));
    });

const cases: readonly { readonly name: string; readonly upstreams: number; readonly hasCallers: boolean; }[] = [
    { name: "one upstream, no callers", upstreams: 1, hasCallers: false },
    { name: "three upstreams, no callers", upstreams: 3, hasCallers: false },
    { name: "three upstreams, callers", upstreams: 3, hasCallers: true },
];

// Guards against a node that is ready as it has a configuration and probes of another client are answered, while its own HTTP client can't send anything.
describe("a node whose HTTP client fails by itself", () => {
    for (const { name, upstreams: count, hasCallers } of cases) {
        it(`isn't ready, and serves once it works: ${name}`, async () => {
            const upstreams = await Promise.all(
                Array.from({ length: count }, () => startScriptedUpstream((socket, { id }) => void socket.end(answerOf(id, "done")))),
            );
            const rows = Object.fromEntries(upstreams.map(({ address }, index) => [`u${index}`, { service: "desk", addr: address, slots: 50 }]));
            const route = { name: "r", host: "shop.example", prefix: "/desk/", routeKind: "idempotent", timeoutMs: 3_000, service: "desk", attempts: 2 };
            const config = { routes: [route], services: [{ name: "desk", healthPath: "/h", maxConns: 100 }] };
            const client = BrokenClient.create();
            const node = await PlatformProcess.start(graceS, config, rows, undefined, undefined, [client.module]);
            const peer = await PlatformProcess.start(graceS, config, {}, node);
            let callers: NodeJS.Timeout | undefined;
            const isServing = async ({ front, ready }: PlatformProcess): Promise<boolean> =>
                (await callGateway(front)).status === 200 && (await statusOf(ready)) === 200;
            try {
                await waitFor("both nodes serve", async () => (await isServing(node)) && (await isServing(peer)), waitTimeoutMs);
                client.break();
                callers = hasCallers ? setInterval(() => void callGateway(node.front), callIntervalMs) : undefined;
                await sleep(maxLossMs);
                const readiness: (number | undefined)[] = [];
                for (let check = 0; check < checks; check++) {
                    readiness.push(await statusOf(node.ready));
                    await sleep(checkIntervalMs);
                }
                assert.deepEqual([...new Set(readiness)], [503]);
                assert.ok(await isServing(peer), "the peer serves");
                client.mend();
                await waitFor("the node serves again", () => isServing(node), waitTimeoutMs);
            }
            finally {
                clearInterval(callers);
                [node, peer].forEach(node => node.close());
                upstreams.forEach(upstream => upstream.close());
                client.close();
            }
        });
    }
});
