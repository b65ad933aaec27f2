import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { callGateway } from "./fakes/gatewayHarness";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";
import type { PiecePace } from "./fakes/smallPieces";
import { pieceForms, sendPieces } from "./fakes/smallPieces";
import { startTroubledServer } from "./fakes/troubledServer";

/** Memory that a node of the platform may use, by its settings file. */
const memoryMb = 350;
/** Time in which a sound request has its answer, whatever other upstreams send. */
const maxSoundMs = 1_000;
const timeoutMs = 3_000;
/** Time after its deadline in which a caller has its answer. */
const maxLateMs = 1_000;
const troubleMs = 4_000;
const startTimeoutMs = 8_000;

interface PiecesCase {
    readonly form: string;
    readonly status: number;
    readonly routeKind: string;
    readonly callers: number;
    readonly pace?: PiecePace;
}

const slow: PiecePace = { bytes: 600, pauseMs: 20 };
const cases: readonly PiecesCase[] = [
    { form: "chunks of 1 byte", status: 200, routeKind: "idempotent", callers: 1 },
    { form: "chunks of 1 byte", status: 200, routeKind: "idempotent", callers: 24 },
    { form: "chunks of 1 byte", status: 500, routeKind: "idempotent", callers: 24 },
    { form: "chunks of 1 byte", status: 200, routeKind: "streaming", callers: 24 },
    { form: "chunks of 1 byte", status: 500, routeKind: "streaming", callers: 24 },
    { form: "an event with an ID a chunk", status: 500, routeKind: "idempotent", callers: 24, pace: slow },
    { form: "one event in chunks of 1 byte", status: 200, routeKind: "streaming", callers: 24 },
];

const routeOf = (service: string, routeKind: string): object => ({
    name: service,
    host: "shop.example",
    prefix: `/${service}/`,
    routeKind,
    timeoutMs,
    service,
    attempts: 1,
});

/** Guards against memory and time that answers take by their pieces, while limits count their bytes. */
describe("a node process whose upstreams send small pieces without end", () => {
    for (const { form, status, routeKind, callers, pace } of cases) {
        it(`lives, keeps within its memory and serves others: ${form}, ${status}, ${routeKind}, ${callers} callers${pace ? ", slowly" : ""}`, async () => {
            const troubled = await startTroubledServer(sendPieces(status, pieceForms.find(({ name }) => name === form)!, pace));
            const sound = await startScriptedUpstream((socket, { id }) => void socket.write(answerOf(id, "done")));
            const node = await PlatformProcess.start(
                8,
                {
                    routes: [routeOf("bad", routeKind), routeOf("good", "non_idempotent")],
                    services: [{ name: "bad", healthPath: "/h", maxConns: 100 }, { name: "good", healthPath: "/h", maxConns: 100 }],
                },
                { u1: { service: "bad", addr: troubled.address, slots: 64 }, u2: { service: "good", addr: sound.address, slots: 64 } },
            );
            const call = (service: string): ReturnType<typeof callGateway> => callGateway(node.front, { path: `/${service}/x` });
            try {
                await waitFor("an answer", async () => (await call("good")).status === 200, startTimeoutMs);
                const hasEnded = (): boolean => (node.process.exitCode ?? node.process.signalCode ?? undefined) !== undefined;
                const endAt = performance.now() + troubleMs;
                const late: number[] = [];
                const soundTimes: number[] = [];
                const failed: unknown[] = [];
                const callBad = async (): Promise<void> => {
                    while (performance.now() < endAt && !hasEnded()) {
                        const { afterMs } = await call("bad");
                        if (afterMs > timeoutMs + maxLateMs) {
                            late.push(Math.round(afterMs));
                        }
                    }
                };
                const callGood = async (): Promise<void> => {
                    while (performance.now() < endAt) {
                        const answer = await call("good");
                        soundTimes.push(Math.round(answer.afterMs));
                        if (answer.status !== 200) {
                            failed.push(answer.status);
                        }
                        await new Promise(resolve => setTimeout(resolve, 50));
                    }
                };
                await Promise.all([...Array.from({ length: callers }, callBad), callGood()]);
                assert.ok(!hasEnded(), `the process has ended: ${node.process.signalCode}`);
                assert.ok(node.peakMemoryMb <= memoryMb, `${Math.round(node.peakMemoryMb)} MB`);
                assert.deepEqual(failed, []);
                assert.ok(Math.max(...soundTimes) <= maxSoundMs, `a sound request took ${Math.max(...soundTimes)} ms`);
                assert.deepEqual(late, []);
                console.log(`${Math.round(node.peakMemoryMb)} MB, ${soundTimes.length} sound requests, ${Math.max(...soundTimes)} ms at most`);
            }
            finally {
                node.close();
                troubled.close();
                sound.close();
            }
        });
    }
});
