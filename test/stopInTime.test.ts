import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { sleep } from "../src/utils/time";
import { callGateway } from "./fakes/gatewayHarness";
import { KeptConnection } from "./fakes/keptConnection";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";

const graceS = 8;
const waitTimeoutMs = 30_000;
const connectIntervalMs = 2;

/** Source of a module that makes every turn of the event loop long. */
const blockerOf = (turnMs: number): string =>
    `setInterval(() => { const until = performance.now() + ${turnMs}; while (performance.now() < until) { /* busy */ } }, 1).unref();`;

interface Case {
    readonly name: string;
    /** Duration of each turn of the node's event loop. */
    readonly turnMs?: number;
    /** Whether the store accepts requests from SIGTERM on and does not answer. */
    readonly isStoreSilent?: boolean;
    /** Whether callers open new connections all the while. */
    readonly hasNewConnections?: boolean;
    /** Whether a request is never answered by its upstream. */
    readonly hasEndlessRequest?: boolean;
}

const cases: readonly Case[] = [
    { name: "while the store does not answer", isStoreSilent: true },
    { name: "while the store does not answer, with a request to the last", isStoreSilent: true, hasEndlessRequest: true },
    { name: "while new connections arrive without end", hasNewConnections: true },
    { name: "with a request to the last", hasEndlessRequest: true },
    { name: "with a request to the last, on turns of 100 ms", hasEndlessRequest: true, turnMs: 100 },
    { name: "with a request to the last, on turns of 250 ms", hasEndlessRequest: true, turnMs: 250 },
    { name: "while new connections arrive without end, on turns of 250 ms", hasNewConnections: true, turnMs: 250 },
    { name: "while new connections arrive without end, on turns of 400 ms", hasNewConnections: true, turnMs: 400 },
    { name: "with a request to the last and a silent store, on turns of 400 ms", hasEndlessRequest: true, isStoreSilent: true, turnMs: 400 },
];

/** Guards against a stop that outlasts the grace period, so that the platform kills the process. */
describe("a node process that is stopped", () => {
    for (const { name, turnMs, isStoreSilent = false, hasNewConnections = false, hasEndlessRequest = false } of cases) {
        it(`ends within the grace period ${name}`, async () => {
            const folder = mkdtempSync(join(tmpdir(), "jackdawtrail-"));
            const blocker = join(folder, "blocker.cjs");
            writeFileSync(blocker, turnMs === undefined ? "" : blockerOf(turnMs));
            const upstream = await startScriptedUpstream((socket, { id }) => {
                if (id !== "endless-0") {
                    socket.write(answerOf(id, "done"));
                }
            });
            const service = "desk";
            const route = { name: "r", host: "shop.example", prefix: "/desk/", routeKind: "non_idempotent", timeoutMs: 12_000, service, attempts: 1 };
            const config = { routes: [route], services: [{ name: service, healthPath: "/h", maxConns: 100 }] };
            const upstreams = { u1: { service, addr: upstream.address, slots: 50 } };
            const node = await PlatformProcess.start(graceS, config, upstreams, undefined, undefined, [blocker]);
            let isConnecting = hasNewConnections;
            try {
                await waitFor("an answer", async () => (await callGateway(node.front)).status === 200, waitTimeoutMs);
                if (hasEndlessRequest) {
                    (await KeptConnection.open(node.front)).send("endless-0");
                    await waitFor("the request", () => upstream.received.some(({ id }) => id === "endless-0"), waitTimeoutMs);
                }
                const [host, port] = node.front.split(":");
                const keepConnecting = async (): Promise<void> => {
                    while (isConnecting) {
                        const socket = connect(Number(port), host);
                        socket.on("error", () => undefined);
                        socket.once("connect", () => setTimeout(() => socket.destroy(), 1_000).unref());
                        await sleep(connectIntervalMs);
                    }
                };
                void keepConnecting();
                node.store.isSilent = isStoreSilent;
                const ended = new Promise<void>(resolve => node.process.once("exit", () => resolve()));
                const startedAt = performance.now();
                node.process.kill("SIGTERM");
                await Promise.race([ended, sleep(2 * graceS * 1_000)]);
                const tookMs = Math.round(performance.now() - startedAt);
                assert.ok(tookMs < graceS * 1_000, `${tookMs} ms`);
            }
            finally {
                isConnecting = false;
                node.close();
                upstream.close();
                rmSync(folder, { recursive: true });
            }
        });
    }
});
