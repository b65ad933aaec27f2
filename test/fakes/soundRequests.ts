import { sleep } from "../../src/utils/time";
import { callGateway } from "./gatewayHarness";
import type { PlatformProcess } from "./platformProcess";

const pauseMs = 50;

/** What became of sound requests that were sent beside others. */
export interface SoundRequests {
    readonly count: number;
    readonly slowestMs: number;
    /** Statuses other than 200; 0 for none. */
    readonly failed: readonly number[];
    /** Longest turn of the node's event loop, as its gauge tells. */
    readonly longestTurnMs: number;
    /** Whether the process runs on. */
    readonly isAlive: boolean;
}

/** Whether the process of a node has not ended. */
export const isRunning = ({ process: { exitCode, signalCode } }: PlatformProcess): boolean => (exitCode ?? signalCode ?? "runs") === "runs";

/** Sends sound requests to a node, one after the other, for a time. */
export const sendSoundRequests = async (node: PlatformProcess, path: string, forMs: number): Promise<SoundRequests> => {
    const endAt = performance.now() + forMs;
    const times: number[] = [];
    const failed: number[] = [];
    while (performance.now() < endAt && isRunning(node)) {
        const { status = 0, afterMs } = await callGateway(node.front, { path });
        times.push(Math.round(afterMs));
        if (status !== 200) {
            failed.push(status);
        }
        await sleep(pauseMs);
    }
    const longestTurnMs = isRunning(node) ? Math.round(1_000 * await node.gauge("jackdawtrail_longest_turn_seconds")) : Number.POSITIVE_INFINITY;
    return { count: times.length, slowestMs: Math.max(0, ...times), failed, longestTurnMs, isAlive: isRunning(node) };
};
