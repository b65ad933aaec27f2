import assert from "node:assert/strict";
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import type { Server } from "node:http";
import { get } from "node:http";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { ExitCode } from "../src/cli/exitCode";
import { createRandom } from "../src/utils/random";
import { sleep } from "../src/utils/time";
import type { CallerResult } from "./fakes/gatewayHarness";
import { callGateway } from "./fakes/gatewayHarness";
import { portOf } from "./fakes/jsonServer";
import { malformedMessages, sendRaw } from "./fakes/malformedMessages";
import { MemoryPlatformStore } from "./fakes/memoryPlatformStore";
import { renderSettingsFile } from "./fakes/platformSettingsFile";
import { servePlatformStore } from "./fakes/platformStoreServer";
import { reservePort } from "./fakes/ports";
import { waitFor } from "./fakes/processes";
import type { ScriptedUpstream } from "./fakes/scriptedUpstream";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";

const program = "build/jackdawtrail.cjs";
const graceMs = 6_000;
const upstreamDelayMs = 300;
const waitTimeoutMs = 5_000;
const loadAfterStopMs = 2_000;
/** Requests during the stop on connections opened before it: their number, the delay of the first one after SIGTERM and the interval between them. */
const lateCount = 8;
const firstLateMs = 2_630;
const lateIntervalMs = 6;

const statusOf = (address: string): Promise<number | undefined> =>
    new Promise(resolve => {
        get(`http://${address}/`, res => {
            res.resume();
            resolve(res.statusCode);
        }).on("error", () => resolve(undefined));
    });

/** Opens a connection; `send` sends a request on it and resolves with all bytes received until the connection closes. */
const openConnection = (address: string, id: string): Promise<{ readonly send: () => Promise<string>; }> =>
    new Promise(resolve => {
        const [host, port] = address.split(":");
        const socket = connect(Number(port), host, () => resolve({ send }));
        let answer = "";
        socket.on("data", chunk => answer += chunk.toString());
        socket.on("error", () => undefined);
        const closed = new Promise<void>(done => socket.once("close", () => done()));
        const send = async (): Promise<string> => {
            socket.write(`POST /new/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n`);
            await closed;
            return answer;
        };
    });

describe("a node on the platform, as a process", () => {
    const folder = mkdtempSync(join(tmpdir(), "jackdawtrail-"));
    const file = join(folder, "boot.toml");
    const store = MemoryPlatformStore.create(createRandom(1));
    store.lossShare = 0;
    let server: Server;
    let upstream: ScriptedUpstream;
    let node: ChildProcess;
    let output = "";
    let addresses: { readonly front: string; readonly ready: string; readonly control: string; readonly metrics: string; };

    const writeSettings = (budgetSlack: number): void => {
        const { front, ready, control, metrics } = addresses;
        writeFileSync(
            file,
            renderSettingsFile({
                name: "n1",
                zone: "a",
                front,
                ready,
                control,
                metricsPort: Number(metrics.split(":")[1]),
                seeds: [],
                storeAddress: `127.0.0.1:${portOf(server)}`,
                graceS: graceMs / 1_000,
                budgetSlack,
            }),
        );
    };

    const putConfig = (version: number, prefix: string): void =>
        store.put(
            { table: "op", part: "", key: "config" },
            Buffer.from(JSON.stringify({
                version,
                routes: [{ name: "r", host: "shop.example", prefix, routeKind: "non_idempotent", timeoutMs: 3_000, service: "desk", attempts: 1 }],
                services: [{ name: "desk", healthPath: "/h", maxConns: 50 }],
                limits: { maxHeaderBytes: 4_096, maxBodyBytes: 10_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 },
            })),
        );

    before(async () => {
        server = await servePlatformStore(store);
        upstream = await startScriptedUpstream((socket, { id }) => void setTimeout(() => socket.write(answerOf(id, "done")), upstreamDelayMs));
        const ports = await Promise.all([reservePort(), reservePort(), reservePort(), reservePort()]);
        const [front, ready, control, metrics] = ports.map(port => `127.0.0.1:${port}`);
        addresses = { front: front!, ready: ready!, control: control!, metrics: metrics! };
        writeSettings(10);
        node = spawn(process.execPath, [program, "serve-platform"], {
            env: { ...process.env, JACKDAWTRAIL_NODE_FILE: file },
            stdio: ["ignore", "pipe", "inherit"],
        });
        node.stdout!.on("data", (chunk: Buffer) => {
            output += chunk.toString();
        });
    });
    after(() => {
        node.kill("SIGKILL");
        upstream.close();
        server.closeAllConnections();
        server.close();
        rmSync(folder, { recursive: true });
    });

    it("reports not ready and refuses requests as not run until it has a configuration", async () => {
        await waitFor("answer", async () => await statusOf(addresses.ready) === 503, waitTimeoutMs);
        const { status, headers } = await callGateway(addresses.front);
        assert.equal(status, 503);
        assert.ok(Number(headers["retry-after"]) > 0);
    });

    it("becomes ready and serves requests once it has a configuration and a directory", async () => {
        putConfig(3, "/desk/");
        store.put(
            { table: "servers", part: "", key: "u1" },
            Buffer.from(JSON.stringify({ service: "desk", addr: upstream.address, zone: "a", slots: 8, state: "ready", born: 1 })),
        );
        await waitFor("readiness", async () => await statusOf(addresses.ready) === 200, waitTimeoutMs);
        assert.equal((await callGateway(addresses.front)).body, "done");
    });

    it("applies a newer configuration, keeps the last one when a new one cannot be read, and serves metrics", async () => {
        putConfig(5, "/new/");
        await waitFor("new route", async () => (await callGateway(addresses.front, { path: "/new/x" })).status === 200, waitTimeoutMs);
        store.put({ table: "op", part: "", key: "config" }, Buffer.from("{}"));
        await waitFor("event 203", () => output.includes('"event":203'), waitTimeoutMs);
        assert.equal((await callGateway(addresses.front, { path: "/new/x" })).status, 200);
        assert.equal((await callGateway(addresses.front)).status, 404);
        assert.equal(await statusOf(addresses.metrics), 200);
    });

    it("survives malformed messages on every port", async () => {
        const ports = Object.values(addresses).map(address => Number(address.split(":")[1]));
        const messages = Object.values(malformedMessages);
        await Promise.all(ports.flatMap(port => messages.map(message => sendRaw(port, message))));
        assert.equal(node.exitCode ?? node.signalCode ?? undefined, undefined);
        assert.equal((await callGateway(addresses.front, { path: "/new/x" })).status, 200);
        assert.equal(await statusOf(addresses.metrics), 200);
        assert.equal(output.includes('"event":111'), false, "an error that no handler caught");
    });

    it("reloads its settings on SIGHUP and keeps running when the file is invalid", async () => {
        writeSettings(20);
        node.kill("SIGHUP");
        await waitFor("event 107", () => output.includes('"event":107'), waitTimeoutMs);
        writeFileSync(file, "= =");
        node.kill("SIGHUP");
        await waitFor("event 106", () => output.includes('"event":106'), waitTimeoutMs);
        assert.equal((await callGateway(addresses.front, { path: "/new/x" })).status, 200);
    });

    it("cuts off no request when it is stopped under load, and exits within the grace period", async () => {
        const results: Promise<CallerResult>[] = [];
        const ended = new Promise<number | undefined>(resolve => node.once("exit", code => resolve(code ?? undefined)));
        const call = async (index: number): Promise<void> => {
            results.push(callGateway(addresses.front, { path: "/new/x", headers: { "attempt-id": `load-${index}` } }));
            await sleep(50);
        };
        for (let count = 0; count < 10; count++) {
            await call(count);
        }
        const late = await Promise.all([...Array(lateCount).keys()].map(index => openConnection(addresses.front, `late-${index}`)));
        const stoppedAt = performance.now();
        node.kill("SIGTERM");
        // Requests on connections opened before the stop arrive at different times in the last phase of the shutdown.
        const lateAnswers = late.map(async ({ send }, index) => {
            await sleep(firstLateMs + index * lateIntervalMs);
            return send();
        });
        // The load balancer needs two seconds to stop sending connections to the node.
        for (let count = 10; performance.now() - stoppedAt < loadAfterStopMs; count++) {
            await call(count);
        }
        assert.equal(await statusOf(addresses.ready), 503);
        assert.equal(await ended, ExitCode.Ok);
        assert.ok(performance.now() - stoppedAt < graceMs);
        const forwarded = new Set(upstream.received.map(({ id }) => id));
        const cutOff = (await Promise.all(lateAnswers)).flatMap((answer, index) => answer === "" && forwarded.has(`late-${index}`) ? [index] : []);
        assert.deepEqual(cutOff, [], "requests forwarded and then cut off");
        const answers = await Promise.all(results);
        assert.deepEqual(answers.map(({ status, body, isComplete }) => `${status} ${body} ${isComplete}`).filter(text => text !== "200 done true"), []);
    });
});
