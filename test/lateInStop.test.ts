import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { ExitCode } from "../src/cli/exitCode";
import { sleep } from "../src/utils/time";
import { callGateway } from "./fakes/gatewayHarness";
import { KeptConnection } from "./fakes/keptConnection";
import { PlatformProcess } from "./fakes/platformProcess";
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
    let upstream: ScriptedUpstream;
    let node: PlatformProcess;
    const answered = new Set<string>();

    before(async () => {
        upstream = await startScriptedUpstream((socket, { id }) => void setTimeout(() => socket.write(answerOf(id, `body-${id}`)), id === "id-1" ? 0 : workMs));
        const route = { name: "r", host: "shop.example", prefix: "/desk/", routeKind: "non_idempotent", timeoutMs: 9_000, service: "desk", attempts: 1 };
        const config = { routes: [route], services: [{ name: "desk", healthPath: "/h", maxConns: 100 }] };
        node = await PlatformProcess.start(graceS, config, { u1: { service: "desk", addr: upstream.address, slots: 50 } });
        await waitFor("an answer", async () => (await callGateway(node.front)).status === 200, waitTimeoutMs);
    });
    after(() => {
        node.close();
        upstream.close();
    });

    it("answers or refuses what it reads, and sends on nothing that it cuts off", async () => {
        const ended = new Promise(resolve => node.process.once("exit", resolve));
        const connections = await Promise.all([...Array(callers).keys()].map(() => KeptConnection.open(node.front)));
        connections.forEach((connection, index) => connection.send(`first-${index}`));
        await waitFor("the first requests", () => upstream.received.length > callers, waitTimeoutMs, 5);
        node.process.kill("SIGTERM");
        await Promise.all(connections.map(async (connection, index) => {
            await connection.waitForAnswers(1);
            connection.send(`second-${index}`);
        }));
        await ended;
        connections.forEach(({ bytes }) => [...bytes.matchAll(/body-(\S+?-\d+)/g)].forEach(([, id]) => answered.add(id!)));
        const sentOn = upstream.received.map(({ id }) => id).filter(id => id !== "id-1");
        assert.deepEqual(sentOn.filter(id => !answered.has(id)), [], "sent on and cut off");
        assert.equal(answered.size, callers, "the requests before the stop are answered");
        // A request that crosses the close of its connection is not read and gets no answer.
        const laterStatuses = new Set(connections.map(({ statuses }) => statuses[1]).filter(status => status !== undefined));
        assert.deepEqual([...laterStatuses].filter(status => status !== 503), [], "the later ones are refused as not run, if they are read");
    });
});

/** Guards against a further signal during a planned stop that ends the process with its requests. */
describe("a node process that is requested to stop several times", () => {
    const cases: readonly { readonly signals: readonly NodeJS.Signals[]; readonly pauseMs: number; }[] = [
        { signals: ["SIGTERM", "SIGTERM"], pauseMs: 300 },
        { signals: ["SIGTERM", "SIGTERM", "SIGTERM"], pauseMs: 0 },
        { signals: ["SIGTERM", "SIGINT"], pauseMs: 300 },
    ];
    for (const { signals, pauseMs } of cases) {
        it(`answers what is in progress: ${signals.join(", ")}, ${pauseMs} ms apart`, async () => {
            const upstream = await startScriptedUpstream((socket, { id }) =>
                void setTimeout(() => socket.write(answerOf(id, "done")), id === "id-1" ? 0 : workMs)
            );
            const route = { name: "r", host: "shop.example", prefix: "/desk/", routeKind: "non_idempotent", timeoutMs: 9_000, service: "desk", attempts: 1 };
            const config = { routes: [route], services: [{ name: "desk", healthPath: "/h", maxConns: 100 }] };
            const node = await PlatformProcess.start(graceS, config, { u1: { service: "desk", addr: upstream.address, slots: 50 } });
            try {
                await waitFor("an answer", async () => (await callGateway(node.front)).status === 200, waitTimeoutMs);
                const ended = new Promise<number | null>(resolve => node.process.once("exit", resolve));
                const connections = await Promise.all([...Array(callers).keys()].map(() => KeptConnection.open(node.front)));
                connections.forEach((connection, index) => connection.send(`first-${index}`));
                await waitFor("the requests", () => upstream.received.length > callers, waitTimeoutMs, 5);
                for (const signal of signals) {
                    node.process.kill(signal);
                    await sleep(pauseMs);
                }
                await Promise.all(connections.map(connection => connection.waitForAnswers(1)));
                assert.deepEqual(connections.map(({ statuses }) => statuses[0]), connections.map(() => 200));
                assert.equal(await ended, ExitCode.Ok);
            }
            finally {
                node.close();
                upstream.close();
            }
        });
    }
});
