import { readFileSync } from "node:fs";
import { sleep } from "../../src/utils/time";
import type { CallersRecord } from "../fakes/discardingCallers";
import { callGateway } from "../fakes/gatewayHarness";
import { PlatformProcess } from "../fakes/platformProcess";
import { Processes, waitFor } from "../fakes/processes";
import { answerOf, startScriptedUpstream } from "../fakes/scriptedUpstream";
import type { PieceCase } from "./pieceCase";
import type { PieceResult } from "./pieceResult";

/** Deadline of a call by its route. */
export const timeoutMs = 3_000;
/** Time in which callers call the upstream that answers without end. */
const defaultTroubleMs = 4_000;
const soundPauseMs = 50;
const startTimeoutMs = 8_000;
/** Time after the trouble in which the last calls must end. */
const maxEndMs = 8_000;
const msPerS = 1_000;
const nsPerMs = 1e6;

const routeOf = (service: string, routeKind: string): object => ({
    name: service,
    host: "shop.example",
    prefix: `/${service}/`,
    routeKind,
    timeoutMs,
    service,
    attempts: 1,
});

const endOf = ({ process }: PlatformProcess): string | undefined => {
    const end = process.signalCode ?? process.exitCode ?? undefined;
    return end === undefined ? undefined : String(end);
};

const startNode = (routeKind: string, badAddress: string, soundAddress: string): Promise<PlatformProcess> =>
    PlatformProcess.start(
        8,
        {
            routes: [routeOf("bad", routeKind), routeOf("good", "non_idempotent")],
            services: [{ name: "bad", healthPath: "/h", maxConns: 100 }, { name: "good", healthPath: "/h", maxConns: 100 }],
        },
        { u1: { service: "bad", addr: badAddress, slots: 64 }, u2: { service: "good", addr: soundAddress, slots: 64 } },
    );

/** Sends sound requests one after the other. */
const callSound = async (front: string, endAt: number): Promise<Pick<PieceResult, "soundMs" | "failed">> => {
    const soundMs: number[] = [];
    const failed: (number | undefined)[] = [];
    while (performance.now() < endAt) {
        const { status, afterMs } = await callGateway(front, { path: "/good/x" });
        soundMs.push(Math.round(afterMs));
        if (status !== 200) {
            failed.push(status);
        }
        await sleep(soundPauseMs);
    }
    return { soundMs, failed };
};

/** Time for which the main thread of a process has waited for a core since its start; NaN once it has ended. */
const readCoreWaitMs = ({ process }: PlatformProcess): number => {
    try {
        return Number(readFileSync(`/proc/${process.pid}/task/${process.pid}/schedstat`, "utf8").split(" ")[1]) / nsPerMs;
    }
    catch {
        return Number.NaN;
    }
};

const readRecord = async (callersUrl: string): Promise<CallersRecord> => (await fetch(`${callersUrl}/record`)).json() as Promise<CallersRecord>;

/** Runs one node process beside an upstream that answers without end and one that is sound; sender and callers of the former are processes of their own. */
export const runPieceCase = async ({ form, status, routeKind, callers, pace }: PieceCase, troubleMs = defaultTroubleMs): Promise<PieceResult> => {
    const processes = Processes.create();
    const bad = await processes.startFake("sender", "pieceServer", { form, status, pace });
    const sound = await startScriptedUpstream((socket, { id }) => void socket.write(answerOf(id, "done")));
    const node = await startNode(routeKind, new URL(bad).host, sound.address);
    try {
        await waitFor("an answer", async () => (await callGateway(node.front, { path: "/good/x" })).status === 200, startTimeoutMs);
        const callersUrl = await processes.startFake("callers", "discardingCallers", { address: node.front, path: "/bad/x", callers });
        const waitBeforeMs = readCoreWaitMs(node);
        const times = await callSound(node.front, performance.now() + troubleMs);
        const coreWaitMs = Math.round(readCoreWaitMs(node) - waitBeforeMs);
        const longestTurnMs = await node.gauge("jackdawtrail_longest_turn_seconds").then(seconds => Math.round(seconds * msPerS), () => Number.NaN);
        await fetch(`${callersUrl}/stop`, { method: "POST" });
        await waitFor("the end of the last calls", async () => (await readRecord(callersUrl)).open === 0, maxEndMs);
        const ended = endOf(node);
        return {
            ...times,
            ended,
            peakMb: ended === undefined ? Math.round(node.peakMemoryMb) : Number.NaN,
            bad: await readRecord(callersUrl),
            longestTurnMs,
            coreWaitMs,
        };
    }
    finally {
        node.close();
        sound.close();
        await processes.stopAll();
    }
};
