import type { Judgement } from "./loadJudge";
import { violations } from "./loadJudge";
import type { LoadNode } from "./loadNode";
import type { LoadOptions } from "./loadOptions";
import type { LoadRecord } from "./loadRecord";
import type { LoadResult } from "./runCallerLoad";

/** Requests of each kind whose log lines are printed. */
const maxTracedPerKind = 5;

const describeRecord = (record: LoadRecord, judgement: Judgement, nodes: readonly LoadNode[]): string => {
    const { plan, node: name, startedAt, sentAt, endedAt, passedOnAt, upstreamEndedAt, upstreamEnd, end, status } = record;
    const node = nodes.find(other => other.name === name)!;
    const stop = node.stops.findLast(({ requestedAt }) => requestedAt <= (endedAt ?? Number.POSITIVE_INFINITY));
    const after = (at: number | undefined): number | undefined => at === undefined ? undefined : Math.round(at - startedAt);
    const seen = {
        sentMs: after(sentAt),
        passedOnMs: after(passedOnAt),
        upstreamEndedMs: after(upstreamEndedAt),
        upstreamEnd,
        endedMs: after(endedAt),
        end,
        status,
        stopMs: after(stop?.requestedAt),
        stopEndedMs: after(stop?.endedAt),
    };
    const { id, route, ...drawn } = plan;
    return [`${judgement}: ${id} at ${name}, ${JSON.stringify(seen)}, drawn ${JSON.stringify({ route: route.name, ...drawn })}`, ...node.linesOf(id)].join(
        "\n    ",
    );
};

/** Describes a run: the log lines of what must not happen first, then the counts. */
export const describeLoad = ({ records, byJudgement, nodes, stopsMs, logFolder }: LoadResult, { seed, seconds, callers }: LoadOptions): string => {
    const traced = [...byJudgement].filter(([judgement]) => violations.has(judgement)).flatMap(([judgement, found]) =>
        found.slice(0, maxTracedPerKind).map(record => describeRecord(record, judgement, nodes))
    );
    const counts = [...byJudgement].map(([judgement, found]) => `${found.length} ${judgement}`).join(", ");
    const ends = nodes.flatMap(({ unexpectedEnds }) => unexpectedEnds);
    return [
        ...traced,
        `seed ${seed}, ${seconds} s, ${callers} callers: ${records.length} requests: ${counts}`,
        `stops: ${stopsMs.map(ms => `${Math.round(ms)} ms`).join(", ")}${ends.length > 0 ? `; ${ends.join(", ")}` : ""}`,
        `logs: ${logFolder}`,
    ].join("\n");
};
