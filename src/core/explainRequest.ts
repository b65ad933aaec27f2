import { EventId } from "../types/eventId";

/** A line of a node's log. */
interface LogLine {
    readonly node: string;
    readonly time: string;
    readonly event: number;
    readonly fields: Readonly<Record<string, unknown>>;
    readonly text: string;
}

/** Events of a model, an upstream, the lease or the store that may explain why a request could not be served. */
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
/** What an upstream said of itself counts for as long as it is in force. */
const wordEvents: ReadonlySet<number> = new Set([EventId.UpstreamSaidLeaving, EventId.UpstreamQuiet, EventId.UpstreamBrittle, EventId.UpstreamBrittleEnded]);
/** Time before a request's first line and after its last one in which context events are included. */
const contextMs = 5_000;

const parseLine = (node: string, text: string): LogLine | undefined => {
    try {
        const fields = JSON.parse(text) as Record<string, unknown>;
        const { time, event } = fields;
        return typeof time === "string" && typeof event === "number" ? { node, time, event, fields, text } : undefined;
    }
    catch {
        // Not a log line, for example a warning of the runtime.
        return undefined;
    }
};

const isContext = ({ event, fields }: LogLine, relatedNames: ReadonlySet<unknown>): boolean =>
    contextEvents.has(event) &&
    (event === EventId.LeaseTaken || event === EventId.LeaseLost || event === EventId.StoreLost || event === EventId.StoreRegained ||
        ["model", "runner", "upstream"].some(field => relatedNames.has(fields[field])));

/** Whether a line tells what an upstream of the request said of itself, and that was in force at a time. */
const isWordInForce = ({ event, time, fields }: LogLine, relatedNames: ReadonlySet<unknown>, at: number): boolean => {
    const lastsMs = event === EventId.UpstreamQuiet ? Number(fields.leftMs) : Number.POSITIVE_INFINITY;
    return wordEvents.has(event) && relatedNames.has(fields.upstream) && Date.parse(time) <= at + contextMs && Date.parse(time) + lastsMs >= at - contextMs;
};

/**
 * Extracts the lines about one request from the logs of all nodes, in order of time: its own lines, marked with `*`, and context events of its
 * model, its upstreams, the lease and the store around that time. Empty if no line has the request's ID.
 */
export const explainRequest = (requestId: string, logs: ReadonlyMap<string, string>): readonly string[] => {
    const allLines = [...logs].flatMap(([node, text]) => text.split("\n").map(line => parseLine(node, line))).filter(line => line !== undefined)
        .sort((a, b) => a.time < b.time ? -1 : 1);
    const requestLines = allLines.filter(({ fields }) => fields.request === requestId);
    if (requestLines.length === 0) {
        return [];
    }
    const relatedNames = new Set(requestLines.flatMap(({ fields }) => [fields.model, fields.upstream]).filter(name => name !== undefined));
    const from = Date.parse(requestLines[0]!.time) - contextMs;
    const to = Date.parse(requestLines.at(-1)!.time) + contextMs;
    return allLines.filter(line =>
        requestLines.includes(line) || isWordInForce(line, relatedNames, Date.parse(requestLines[0]!.time)) ||
        (Date.parse(line.time) >= from && Date.parse(line.time) <= to && isContext(line, relatedNames))
    )
        .map(line => `${requestLines.includes(line) ? "*" : " "} ${line.node} ${line.text}`);
};
