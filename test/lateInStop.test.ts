import assert from "node:assert/strict";
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import type { Server } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { createRandom } from "../src/utils/random";
import { callGateway } from "./fakes/gatewayHarness";
import { portOf } from "./fakes/jsonServer";
import { KeptConnection } from "./fakes/keptConnection";
import { MemoryPlatformStore } from "./fakes/memoryPlatformStore";
import { renderSettingsFile } from "./fakes/platformSettingsFile";
import { servePlatformStore } from "./fakes/platformStoreServer";
import { reservePort } from "./fakes/ports";
import { waitFor } from "./fakes/processes";
import type { ScriptedUpstream } from "./fakes/scriptedUpstream";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";

const graceS = 6;
/** The second request of a connection arrives over three seconds after SIGTERM, and would end after the grace period. */
const workMs = 3_100;
const callers = 20;
const waitTimeoutMs = 8_000;

/** Guards against requests that arrive late in a planned stop on open connections, are sent on, run, and are cut off at the end of the grace period. */
describe("a node process that is stopped while its callers keep their connections", () => {
    const folder = mkdtempSync(join(tmpdir(), "jackdawtrail-"));
    const file = join(folder, "boot.toml");
    const store = MemoryPlatformStore.create(createRandom(1));
    store.lossShare = 0;
    let server: Server;
    let upstream: ScriptedUpstream;
    let node: ChildProcess;
    let front = "";
    const answered = new Set<string>();

    before(async () => {
        server = await servePlatformStore(store);
        upstream = await startScriptedUpstream((socket, { id }) => void setTimeout(() => socket.write(answerOf(id, `body-${id}`)), id === "id-1" ? 0 : workMs));
        const ports = await Promise.all([reservePort(), reservePort(), reservePort(), reservePort()]);
        front = `127.0.0.1:${ports[0]}`;
        writeFileSync(
            file,
            renderSettingsFile({
                name: "n1",
                zone: "a",
                front,
                ready: `127.0.0.1:${ports[1]}`,
                control: `127.0.0.1:${ports[2]}`,
                metricsPort: ports[3]!,
                seeds: [],
                storeAddress: `127.0.0.1:${portOf(server)}`,
                graceS,
                budgetSlack: 10,
            }),
        );
        const config = {
            version: 3,
            routes: [{ name: "r", host: "shop.example", prefix: "/desk/", routeKind: "non_idempotent", timeoutMs: 9_000, service: "desk", attempts: 1 }],
            services: [{ name: "desk", healthPath: "/h", maxConns: 100 }],
            limits: { maxHeaderBytes: 4_096, maxBodyBytes: 10_000, headerTimeoutMs: 3_000, idleTimeoutMs: 9_000 },
        };
        store.put({ table: "op", part: "", key: "config" }, Buffer.from(JSON.stringify(config)));
        const row = { service: "desk", addr: upstream.address, zone: "a", slots: 50, state: "ready", born: 1 };
        store.put({ table: "servers", part: "", key: "u1" }, Buffer.from(JSON.stringify(row)));
        node = spawn(process.execPath, ["build/jackdawtrail.cjs", "serve-platform"], {
            env: { ...process.env, JACKDAWTRAIL_NODE_FILE: file },
            stdio: "ignore",
        });
        await waitFor("an answer", async () => (await callGateway(front)).status === 200, waitTimeoutMs);
    });
    after(() => {
        node.kill("SIGKILL");
        upstream.close();
        server.closeAllConnections();
        server.close();
        rmSync(folder, { recursive: true });
    });

    it("answers or refuses what it reads, and sends on nothing that it cuts off", async () => {
        const ended = new Promise(resolve => node.once("exit", resolve));
        const connections = await Promise.all([...Array(callers).keys()].map(() => KeptConnection.open(front)));
        connections.forEach((connection, index) => connection.send(`first-${index}`));
        await waitFor("the first requests", () => upstream.received.length > callers, waitTimeoutMs, 5);
        node.kill("SIGTERM");
        await Promise.all(connections.map(async (connection, index) => {
            await connection.waitForAnswers(1);
            connection.send(`second-${index}`);
        }));
        await ended;
        connections.forEach(({ bytes }) => [...bytes.matchAll(/body-(\S+?-\d+)/g)].forEach(([, id]) => answered.add(id!)));
        const sentOn = upstream.received.map(({ id }) => id).filter(id => id !== "id-1");
        assert.deepEqual(sentOn.filter(id => !answered.has(id)), [], "sent on and cut off");
        assert.equal(answered.size, callers, "the requests before the stop are answered");
        const refusals = connections.filter(({ statuses }) => statuses[1] === 503).length;
        assert.equal(refusals, callers, "the later ones are refused as not run");
    });
});
