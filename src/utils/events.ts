import log from "loglevel";
import { EventId } from "../types/eventId";

/** Events logged as warnings; invariant events are errors, all others are informational. */
const warningEvents: ReadonlySet<EventId> = new Set([
    EventId.NodeStartFailed,
    EventId.UnexpectedError,
    EventId.NodeUnableToServe,
    EventId.NodeStartRetried,
    EventId.MetricsUnserved,
    EventId.ListenerLost,
    EventId.HeapNearLimit,
    EventId.ConnectionsCut,
    EventId.HeadsGivenUp,
    EventId.PortConnectionsClosed,
    EventId.StoreLost,
    EventId.UpstreamRowIgnored,
    EventId.PeerEntryIgnored,
    EventId.UpstreamContactLost,
    EventId.RequestFailed,
    EventId.RequestUnanswered,
    EventId.AttemptStepFailed,
    EventId.ConfigSourceFailed,
    EventId.ConfigUnreadableRecord,
    EventId.SnapshotFailed,
    EventId.PeerExchangeFailed,
    EventId.VmListFailed,
    EventId.AttemptFailed,
    EventId.AnswerDropped,
    EventId.ClaimReleaseFailed,
    EventId.ClaimOutcomeLost,
    EventId.LeaseLost,
    EventId.OrderUnanswered,
    EventId.OrderRefused,
    EventId.ReportFailed,
    EventId.MemoryLeaked,
    EventId.ControllerRoundFailed,
    EventId.LeaseRowUnreadable,
    EventId.RunnerLeasesUnwritten,
]);
const invariantEventBase = 900;

type EventObserver = (event: EventId, fields: Readonly<Record<string, unknown>>) => void;
const observers: EventObserver[] = [];

/** Calls the observer for every event, whatever the log level. Returns a function that removes the observer. */
export const observeEvents = (observer: EventObserver): () => void => {
    observers.push(observer);
    return () => void observers.splice(observers.indexOf(observer), 1);
};

/** Whether the event reports a violated invariant. */
export const isInvariantEvent = (event: EventId): boolean => event > invariantEventBase;

/** An observer that fails must not fail what the event tells of. */
const notify = (observer: EventObserver, event: EventId, fields: Readonly<Record<string, unknown>>): void => {
    try {
        observer(event, fields);
    }
    catch (err) {
        const [id, name] = [EventId.UnexpectedError, EventId[EventId.UnexpectedError]];
        log.warn(JSON.stringify({ time: new Date().toISOString(), level: "warn", event: id, name, origin: "observer of events", detail: String(err) }));
    }
};

/** Logs a numbered event as one JSON object on one line. */
export const emit = (event: EventId, fields: Readonly<Record<string, unknown>> = {}): void => {
    observers.forEach(observer => notify(observer, event, fields));
    const level = isInvariantEvent(event) ? "error" : warningEvents.has(event) ? "warn" : "info";
    log[level](JSON.stringify({ time: new Date().toISOString(), level, event, name: EventId[event], ...fields }));
};

/** Rate limit and burst size of log lines; a request logs about three. */
const maxLinesPerS = 400;
const maxBurstLines = 1_200;
/** Bytes buffered for a slow log reader before lines are dropped. */
const maxBufferedBytes = 262_144;
/** Lines logged within this time are combined into one write. */
const flushDelayMs = 50;

/** Destination of log lines. */
export interface LogStream {
    write(text: string): boolean;
    readonly writableLength: number;
}

/** Creates a line writer that limits the rate (token bucket) and drops lines instead of blocking. */
const createLineWriter = (stream: LogStream): (line: string) => void => {
    let availableLines = maxBurstLines;
    let refilledAt = performance.now();
    let pendingLines: string[] = [];
    let dropped = 0;
    const flush = (): void => {
        const lines = pendingLines;
        pendingLines = [];
        if (dropped > 0) {
            const fields = { time: new Date().toISOString(), level: "warn", event: EventId.LinesDropped, name: EventId[EventId.LinesDropped], lines: dropped };
            lines.push(JSON.stringify(fields));
            dropped = 0;
        }
        stream.write(`${lines.join("\n")}\n`);
    };
    return line => {
        const now = performance.now();
        availableLines = Math.min(maxBurstLines, availableLines + (now - refilledAt) * maxLinesPerS / 1_000);
        refilledAt = now;
        if (availableLines < 1 || stream.writableLength > maxBufferedBytes) {
            dropped++;
            return;
        }
        availableLines--;
        if (pendingLines.push(line) === 1) {
            setTimeout(flush, flushDelayMs);
        }
    };
};

/** Sets the lowest severity that is logged and the stream that the lines are written to. */
export const setupLogs = (level: log.LogLevelDesc, stream: LogStream = process.stderr): void => {
    const write = stream === process.stderr ? (line: string) => void stream.write(`${line}\n`) : createLineWriter(stream);
    log.methodFactory = () => line => write(line as string);
    log.setLevel(level, false);
};
