import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { sleep } from "../src/utils/time";
import { callGateway } from "./fakes/gatewayHarness";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";

const waitTimeoutMs = 30_000;
const turnMs = 60;
/** Callers come in bursts, which the node has accepted and answered before the next one. */
const burst = 6;
const burstIntervalMs = 1_000;
/** A connection that ends sooner after its request may have crossed the close. */
const slackMs = 200;

interface Sent {
    readonly sentAt: number;
    endedAt?: number;
    answer: string;
}

/** Sends a whole request on a new connection. */
const send = (address: string, requests: Sent[]): void => {
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host, () => {
        const sent: Sent = { sentAt: performance.now(), answer: "" };
        requests.push(sent);
        socket.write(`POST /desk/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: ${requests.length}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
        socket.on("data", (chunk: Buffer) => sent.answer += chunk.toString("latin1"));
        socket.once("close", () => sent.endedAt = performance.now());
    });
    socket.on("error", () => undefined);
};

/** Guards against a stop whose notice takes all of a short grace period, so that the listener is closed with requests in its backlog. */
describe("a node process on long turns that is stopped within a short grace period", () => {
    const cases: readonly { readonly graceS: number; readonly firstBurstAfterMs: number; }[] = [
        { graceS: 2, firstBurstAfterMs: 150 },
        { graceS: 3, firstBurstAfterMs: 200 },
        { graceS: 4, firstBurstAfterMs: 300 },
    ];
    for (const { graceS, firstBurstAfterMs } of cases) {
        it(`answers the requests that wait in its backlog: ${graceS} s`, async () => {
            const folder = mkdtempSync(join(tmpdir(), "jackdawtrail-"));
            const blocker = join(folder, "blocker.cjs");
            writeFileSync(
                blocker,
                `process.once("SIGTERM", () => setInterval(() => { const until = performance.now() + ${turnMs}; while (performance.now() < until); }, 1).unref());`,
            );
            const upstream = await startScriptedUpstream((socket, { id }) => socket.write(answerOf(id, "done")));
            const route = { name: "r", host: "shop.example", prefix: "/desk/", routeKind: "non_idempotent", timeoutMs: 9_000, service: "desk", attempts: 1 };
            const config = { routes: [route], services: [{ name: "desk", healthPath: "/h", maxConns: 100 }] };
            const node = await PlatformProcess.start(graceS, config, { u1: { service: "desk", addr: upstream.address, slots: 50 } }, undefined, undefined, [
                blocker,
            ]);
            try {
                await waitFor("an answer", async () => (await callGateway(node.front)).status === 200, waitTimeoutMs);
                let hasEnded = false;
                const ended = new Promise<void>(resolve => node.process.once("exit", () => resolve()));
                void ended.then(() => hasEnded = true);
                const requests: Sent[] = [];
                const startedAt = performance.now();
                node.process.kill("SIGTERM");
                for (let at = firstBurstAfterMs; !hasEnded && at < graceS * 1_000; at += burstIntervalMs) {
                    await Promise.race([ended, sleep(startedAt + at - performance.now())]);
                    for (let count = 0; count < burst && !hasEnded; count++) {
                        send(node.front, requests);
                    }
                }
                await ended;
                const tookMs = performance.now() - startedAt;
                await sleep(slackMs);
                const lost = requests.filter(({ sentAt, endedAt = Number.POSITIVE_INFINITY, answer }) => answer === "" && endedAt - sentAt > slackMs);
                const lostAt = lost.map(({ sentAt, endedAt = 0 }) =>
                    `sent at ${Math.round(sentAt - startedAt)} ms, ended at ${Math.round(endedAt - startedAt)} ms`
                );
                assert.deepEqual(lostAt, [], `of ${requests.length}`);
                assert.ok(requests.length >= burst && tookMs < graceS * 1_000, `${requests.length} requests, ${tookMs} ms`);
            }
            finally {
                node.close();
                upstream.close();
                rmSync(folder, { recursive: true });
            }
        });
    }
});
