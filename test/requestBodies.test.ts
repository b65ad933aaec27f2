import assert from "node:assert/strict";
import { fork } from "node:child_process";
import { once } from "node:events";
import { createServer, request } from "node:http";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { callGateway } from "./fakes/gatewayHarness";
import { portOf } from "./fakes/jsonServer";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";
import type { SmallAnswer } from "./fakes/smallService";

/** Memory that a node of the platform may use, by its settings file. */
const memoryMb = 350;
const defaultBodyBytes = 3_000_000;
const body = Buffer.alloc(defaultBodyBytes, "x");
/** Share of the memory for bodies, answers and connections that bodies may take. */
const bodyShare = 0.6;
const workMs = 500;
const startTimeoutMs = 8_000;
const maxTries = 12;
const giveBackTimeoutMs = 3_000;
const latencyObjectiveMs = 500;
/** Share of small requests that must be answered within the objective. */
const minQuickShare = 0.95;

const routeOf = (service: string): object => ({
    name: service,
    host: "shop.example",
    prefix: `/${service}/`,
    routeKind: "idempotent",
    timeoutMs: 9_000,
    sloMs: latencyObjectiveMs,
    service,
    attempts: 1,
});

/** Answer to a request with a large body; `ECONNRESET` and the like if there was none. */
interface LargeAnswer {
    readonly outcome: string;
    readonly retryAfterMs?: number;
}

/** How callers send their bodies. */
interface Sending {
    readonly isChunked?: boolean;
    readonly bodyBytes?: number;
    readonly leaveAfterMs?: number;
}

const callLarge = (front: string, id: string, { isChunked, bodyBytes = defaultBodyBytes, leaveAfterMs }: Sending): Promise<LargeAnswer> =>
    new Promise(resolve => {
        const [host, port] = front.split(":");
        const length = isChunked ? { "transfer-encoding": "chunked" } : { "content-length": bodyBytes };
        const req = request(
            {
                host,
                port,
                path: "/large/x",
                method: "POST",
                agent: false,
                headers: { host: "shop.example", "attempt-id": id, "deadline-ms": "9000", ...length },
            },
            res => {
                const retryAfter = res.headers["retry-after"];
                res.resume();
                res.on(
                    "end",
                    () => resolve({ outcome: String(res.statusCode), retryAfterMs: retryAfter === undefined ? undefined : Number(retryAfter) * 1_000 }),
                );
                res.on("error", err => resolve({ outcome: String(err) }));
            },
        );
        req.on("error", err => resolve({ outcome: leaveAfterMs === undefined ? String(err) : "left" }));
        if (leaveAfterMs !== undefined) {
            setTimeout(() => req.destroy(), leaveAfterMs);
        }
        req.end(body.subarray(0, bodyBytes));
    });

/** A service and its callers in a process of their own, which the work of this one does not delay. */
const startSmallService = async (): Promise<
    { readonly address: string; begin(front: string): void; end(): Promise<readonly SmallAnswer[]>; close(): void; }
> => {
    const child = fork(fileURLToPath(new URL("./fakes/smallService.ts", import.meta.url)), { execArgv: ["--import", "tsx"] });
    const [address] = await once(child, "message") as [string];
    return {
        address,
        begin: front => void child.send(front),
        end: async () => {
            const answers = once(child, "message");
            child.send("end");
            return (await answers as [readonly SmallAnswer[]])[0];
        },
        close: () => void child.kill(),
    };
};

const startNode = async (): Promise<{ readonly node: PlatformProcess; readonly small: Awaited<ReturnType<typeof startSmallService>>; close(): void; }> => {
    const slow = createServer((req, res) => {
        req.resume();
        req.on("end", () =>
            setTimeout(() => {
                res.writeHead(200, { "Attempt-Id": req.headers["attempt-id"] ?? "", "Server-Seal": "s" });
                res.end("done");
            }, workMs));
    });
    await new Promise<void>(resolve => slow.listen(0, "127.0.0.1", resolve));
    const small = await startSmallService();
    const node = await PlatformProcess.start(
        8,
        {
            limits: { maxHeaderBytes: 8_192, maxBodyBytes: 4_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 9_000 },
            routes: [routeOf("large"), routeOf("small")],
            services: [{ name: "large", healthPath: "/h", maxConns: 500 }, { name: "small", healthPath: "/h", maxConns: 100 }],
        },
        { u1: { service: "large", addr: `127.0.0.1:${portOf(slow)}`, slots: 400 }, u2: { service: "small", addr: small.address, slots: 64 } },
    );
    const close = (): void => {
        node.close();
        small.close();
        slow.close();
        slow.closeAllConnections();
    };
    await waitFor("an answer", async () => (await callGateway(node.front, { path: "/small/x" })).status === 200, startTimeoutMs);
    await waitFor("an answer", async () => (await callGateway(node.front, { path: "/large/x" })).status === 200, startTimeoutMs);
    return { node, small, close };
};

/** Waits until bodies could take their whole share again within the stated limit. */
const waitForMemory = async (node: PlatformProcess): Promise<void> => {
    let report = "";
    const isGivenBack = async (): Promise<boolean> => {
        const limitMb = await node.gauge("jackdawtrail_memory_limit_bytes") / 1_048_576;
        report = `${Math.round(node.memoryMb)} MB with a limit of ${Math.round(limitMb)} MB for callers`;
        return node.memoryMb + bodyShare * limitMb <= memoryMb;
    };
    await waitFor("memory that is given back", isGivenBack, giveBackTimeoutMs).catch((err: unknown) => assert.fail(`${String(err)}: ${report}`));
};

/** Guards against a node whose memory grows with the number of bodies, until the platform kills it with the requests of all callers. */
describe("a node process whose callers send large bodies at once", () => {
    const cases: readonly (Sending & { readonly name: string; readonly callers: number; readonly isMemoryAlone?: boolean; })[] = [
        { name: "60 callers", callers: 60 },
        { name: "120 callers", callers: 120 },
        { name: "300 callers", callers: 300 },
        { name: "600 callers, 0.3 MB", callers: 600, bodyBytes: 300_000 },
        { name: "1,200 callers, 0.3 MB", callers: 1_200, bodyBytes: 300_000 },
        { name: "600 callers, 0.3 MB, memory alone", callers: 600, bodyBytes: 300_000, isMemoryAlone: true },
        { name: "1,200 callers, 0.3 MB, memory alone", callers: 1_200, bodyBytes: 300_000, isMemoryAlone: true },
        { name: "60 callers, in chunks", callers: 60, isChunked: true },
    ];
    for (const { name, callers, isMemoryAlone, ...sending } of cases) {
        it(`keeps within its memory, answers all and serves small requests beside them: ${name}`, async () => {
            const { node, small, close } = await startNode();
            try {
                small.begin(node.front);
                const outcomes = new Map<string, number>();
                const callUntilServed = async (index: number): Promise<string> => {
                    for (let tries = 1;; tries++) {
                        const { outcome, retryAfterMs } = await callLarge(node.front, `${index}-${tries}`, sending);
                        outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
                        if (outcome !== "503" || tries === maxTries) {
                            return outcome;
                        }
                        assert.ok(retryAfterMs, "a refusal says when to come again");
                        await new Promise(resolve => setTimeout(resolve, retryAfterMs));
                    }
                };
                const finals = await Promise.all([...Array(callers).keys()].map(callUntilServed));
                const smallAnswers = await small.end();
                const slowestMs = Math.round(Math.max(...smallAnswers.map(({ afterMs }) => afterMs)));
                const report = `${Math.round(node.peakMemoryMb)} MB, ${JSON.stringify([...outcomes])}, ${smallAnswers.length} small up to ${slowestMs} ms`;
                assert.ok(node.peakMemoryMb <= memoryMb, report);
                assert.deepEqual(finals.filter(outcome => outcome !== "200"), [], report);
                assert.deepEqual([...outcomes.keys()].filter(outcome => outcome !== "200" && outcome !== "503"), [], report);
                await waitForMemory(node);
                if (!isMemoryAlone) {
                    assert.deepEqual(smallAnswers.filter(({ status }) => status !== 200), [], report);
                    const quickCount = smallAnswers.filter(({ afterMs }) => afterMs <= latencyObjectiveMs).length;
                    assert.ok(quickCount >= minQuickShare * smallAnswers.length, `${quickCount} quick: ${report}`);
                }
            }
            finally {
                close();
            }
        });
    }

    it("keeps within its memory and can use it again: 270 callers that leave", async () => {
        const { node, close } = await startNode();
        try {
            const leavers = [...Array(270).keys()].map(index => callLarge(node.front, `l${index}`, { leaveAfterMs: 50 + 900 * index / 270 }));
            await Promise.all(leavers);
            await waitFor("memory that is given back", async () => await node.gauge("jackdawtrail_memory_bodies_bytes") === 0, 12_000);
            const finals = await Promise.all([...Array(20).keys()].map(index => callLarge(node.front, `a${index}`, {})));
            assert.ok(node.peakMemoryMb <= memoryMb, `${Math.round(node.peakMemoryMb)} MB`);
            assert.deepEqual(finals.filter(({ outcome }) => outcome !== "200"), []);
        }
        finally {
            close();
        }
    });
});
