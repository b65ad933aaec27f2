import type { PieceResult } from "./pieceResult";
import { timeoutMs } from "./runPieceCase";

/** Memory that a node of the platform may use, by its settings file. */
const memoryMb = 350;
/** Time in which a sound request has its answer, whatever other upstreams send. */
const maxSoundMs = 1_000;
/** Time after its deadline in which a caller has its answer. */
const maxLateMs = 1_000;

/** What a node process must not do, whatever an upstream sends. */
export const pieceViolations = ({ ended, peakMb, soundMs, failed, bad }: PieceResult): readonly string[] => {
    const slowestMs = Math.max(...soundMs);
    const checks: readonly (readonly [boolean, string])[] = [
        [ended === undefined, `the process has ended: ${ended}`],
        [ended !== undefined || peakMb <= memoryMb, `${peakMb} MB`],
        [failed.length === 0, `sound requests were answered ${failed.join(", ")}`],
        [soundMs.length > 0 && slowestMs <= maxSoundMs, `a sound request took ${slowestMs} ms`],
        [bad.calls > 0 && bad.longestMs <= timeoutMs + maxLateMs, `a caller had its answer after ${bad.longestMs} ms of ${timeoutMs}`],
    ];
    return checks.flatMap(([isKept, violation]) => isKept ? [] : [violation]);
};

/** Figures of a result on one line. */
export const describeResult = ({ peakMb, soundMs, bad, longestTurnMs, coreWaitMs }: PieceResult): string =>
    `${peakMb} MB, ${soundMs.length} sound requests, ${
        Math.max(...soundMs)
    } ms at most, longest turn ${longestTurnMs} ms, waited ${coreWaitMs} ms for a core; ${bad.calls} bad calls, ${bad.longestMs} ms at most, ${
        JSON.stringify(bad.statuses)
    }`;
