import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { encodeRelayed } from "../src/forward/relayHeaders";
import { sleep } from "../src/utils/time";
import { drainAnswer } from "./fakes/drainAnswer";
import { callGateway } from "./fakes/gatewayHarness";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";
import { headOf, pieceForms, sendPieces } from "./fakes/smallPieces";
import { isRunning, sendSoundRequests } from "./fakes/soundRequests";
import type { Trouble } from "./fakes/troubledServer";
import { startTroubledServer } from "./fakes/troubledServer";

/** Memory that a node of the platform may use, by its settings file. */
const memoryMb = 350;
/** Time in which a sound request has its answer, whatever other upstreams send. */
const maxSoundMs = 1_000;
const forMs = 1_200;
const callers = 24;
const graceS = 4;
const startTimeoutMs = 15_000;
const changeMs = 400;

const formOf = (name: string): typeof pieceForms[number] => pieceForms.find(form => form.name === name)!;
const oneByte = formOf("chunks of 1 byte");

/** Answers with one form after the other. */
const alternate = (): Trouble => {
    let index = 0;
    return socket => sendPieces(index % 3 === 0 ? 500 : 200, pieceForms[index++ % pieceForms.length]!)(socket);
};

/** Writes single bytes of a body of a known size, without chunks. */
const sendSingleBytes = (socket: Socket): void => {
    socket.setNoDelay(true);
    socket.write(headOf(200, oneByte).replace("Transfer-Encoding: chunked", "Content-Length: 3000000"));
    const write = (): void => {
        for (let count = 0; count < 20 && !socket.destroyed; count++) {
            socket.write("x");
        }
        if (!socket.destroyed) {
            setImmediate(write);
        }
    };
    write();
};

interface Case {
    readonly name: string;
    readonly trouble: Trouble;
    readonly routeKind: string;
    /** Whether the requests come as from a peer that passes them on. */
    readonly isRelayed?: boolean;
    /** What happens to the node, again and again. */
    readonly change?: (node: PlatformProcess, version: number) => void;
}

const cases: readonly Case[] = [
    { name: "for a peer, plain", trouble: sendPieces(200, oneByte), routeKind: "idempotent", isRelayed: true },
    { name: "for a peer, streaming", trouble: sendPieces(200, formOf("an event with an ID a chunk")), routeKind: "streaming", isRelayed: true },
    { name: "while it reloads its settings", trouble: sendPieces(200, oneByte), routeKind: "streaming", change: node => node.process.kill("SIGHUP") },
    {
        name: "while it gets newer configurations",
        trouble: sendPieces(500, oneByte),
        routeKind: "streaming",
        change: (node, version) => node.putConfiguration({ ...configOf("streaming"), version }),
    },
    { name: "of alternating forms", trouble: alternate(), routeKind: "streaming" },
    { name: "without chunks", trouble: sendSingleBytes, routeKind: "idempotent" },
];

const routeOf = (service: string, routeKind: string): object => ({
    name: service,
    host: "shop.example",
    prefix: `/${service}/`,
    routeKind,
    timeoutMs: 3_000,
    service,
    attempts: 1,
});

const configOf = (routeKind: string): object => ({
    routes: [routeOf("bad", routeKind), routeOf("good", "non_idempotent")],
    services: ["bad", "good"].map(name => ({ name, healthPath: "/h", maxConns: 100 })),
});

const withNode = async (trouble: Trouble, routeKind: string, use: (node: PlatformProcess) => Promise<void>): Promise<void> => {
    const bad = await startTroubledServer(trouble);
    const good = await startScriptedUpstream((socket, { id }) => void socket.write(answerOf(id, "done")));
    const node = await PlatformProcess.start(graceS, configOf(routeKind), {
        u1: { service: "bad", addr: bad.address, slots: 64 },
        u2: { service: "good", addr: good.address, slots: 64 },
    });
    try {
        await waitFor("an answer", async () => (await callGateway(node.front, { path: "/good/x" })).status === 200, startTimeoutMs);
        await use(node);
    }
    finally {
        node.close();
        bad.close();
        good.close();
    }
};

/** Calls the upstream that sends pieces until the process ends or the function that is returned is called. */
const callBad = (node: PlatformProcess, isRelayed = false): () => void => {
    let isCalling = true;
    const [name, value] = encodeRelayed({ node: "n2", elapsedMs: 0, remainingMs: 2_000, configVersion: 3, service: "bad", maxRuns: 1 });
    const call = async (): Promise<void> => {
        while (isCalling && isRunning(node)) {
            await (isRelayed ? drainAnswer(node.control, "/bad/x", { [name]: value }) : drainAnswer(node.front, "/bad/x"));
        }
    };
    Array.from({ length: callers }, call);
    return () => void (isCalling = false);
};

/** Guards against small pieces of answers that take the memory or the time of a node in more than its usual work. */
describe("a node process whose upstreams send answers in small pieces without end", () => {
    for (const { name, trouble, routeKind, isRelayed, change } of cases) {
        it(`lives, keeps within its memory and serves others: ${name}`, context =>
            withNode(trouble, routeKind, async node => {
                const stopCalls = callBad(node, isRelayed);
                let version = 3;
                const timer = setInterval(() => change?.(node, ++version), changeMs);
                try {
                    const { count, slowestMs, failed, isAlive, longestTurnMs } = await sendSoundRequests(node, "/good/x", forMs);
                    assert.ok(isAlive, "the process has ended");
                    context.diagnostic(`${Math.round(node.peakMemoryMb)} MB, ${count} sound requests, ${slowestMs} ms at most, turns of ${longestTurnMs} ms`);
                    assert.ok(node.peakMemoryMb <= memoryMb, `${Math.round(node.peakMemoryMb)} MB`);
                    assert.deepEqual(failed, []);
                    assert.ok(slowestMs <= maxSoundMs, `a sound request took ${slowestMs} ms`);
                }
                finally {
                    clearInterval(timer);
                    stopCalls();
                }
            }));
    }

    it("ends within its grace period", context =>
        withNode(sendPieces(200, oneByte), "streaming", async node => {
            const stopCalls = callBad(node);
            await sleep(changeMs);
            const stoppedAt = performance.now();
            node.process.kill("SIGTERM");
            await waitFor("the end of the process", () => !isRunning(node), 2 * graceS * 1_000);
            stopCalls();
            const tookMs = performance.now() - stoppedAt;
            context.diagnostic(`ended after ${Math.round(tookMs)} ms`);
            assert.equal(node.process.exitCode, 0);
            assert.ok(tookMs <= graceS * 1_000, `ended after ${Math.round(tookMs)} ms`);
        }));
});
