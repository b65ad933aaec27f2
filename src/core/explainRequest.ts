import { EventId } from "../types/eventId";

/** A line of a node's log. */
interface LogLine {
    readonly node: string;
    readonly time: string;
    readonly event: number;
    readonly fields: Readonly<Record<string, unknown>>;
    readonly text: string;
}

/** Events on a model or upstream that tell why a request could not use it. */
const contextEvents: ReadonlySet<number> = new Set([
    EventId.UpstreamChanged,
    EventId.LeaseTaken,
    EventId.LeaseLost,
    EventId.OrderSent,
    EventId.OrderUnanswered,
    EventId.OrderRefused,
    EventId.ArtifactResident,
    EventId.ArtifactGone,
    EventId.RunnerSuspected,
    EventId.StoreLost,
    EventId.StoreRegained,
]);
/** Time before a request's first line and after its last in which other events may be its cause. */
const contextMs = 5_000;

const parseLine = (node: string, text: string): LogLine | undefined => {
    try {
        const fields = JSON.parse(text) as Record<string, unknown>;
        const { time, event } = fields;
        return typeof time === "string" && typeof event === "number" ? { node, time, event, fields, text } : undefined;
    }
    catch {
        // Other output of a process, such as a warning of the runtime.
        return undefined;
    }
};

const concerns = ({ event, fields }: LogLine, names: ReadonlySet<unknown>): boolean =>
    contextEvents.has(event) &&
    (event === EventId.LeaseTaken || event === EventId.LeaseLost || event === EventId.StoreLost || event === EventId.StoreRegained ||
        ["model", "runner", "upstream"].some(field => names.has(fields[field])));

/**
 * What the logs of all nodes tell of one request: its own lines, and those on its model, its upstreams, the lease and the
 * store shortly before and meanwhile. In the order of time; empty where no line has the request's ID.
 */
export const explainRequest = (requestId: string, logs: ReadonlyMap<string, string>): readonly string[] => {
    const lines = [...logs].flatMap(([node, text]) => text.split("\n").map(line => parseLine(node, line))).filter(line => line !== undefined)
        .sort((a, b) => a.time < b.time ? -1 : 1);
    const own = lines.filter(({ fields }) => fields.request === requestId);
    if (own.length === 0) {
        return [];
    }
    const names = new Set(own.flatMap(({ fields }) => [fields.model, fields.upstream]).filter(name => name !== undefined));
    const from = Date.parse(own[0]!.time) - contextMs;
    const to = Date.parse(own.at(-1)!.time) + contextMs;
    return lines.filter(line => own.includes(line) || (Date.parse(line.time) >= from && Date.parse(line.time) <= to && concerns(line, names)))
        .map(line => `${own.includes(line) ? "*" : " "} ${line.node} ${line.text}`);
};
