import log from "loglevel";
import { EventId } from "../types/eventId";

/** Severity of each event; an event not listed is information. */
const warnings: ReadonlySet<EventId> = new Set([
    EventId.NodeStartFailed,
    EventId.StoreLost,
    EventId.UpstreamRowIgnored,
    EventId.RequestFailed,
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
const firstInvariant = 900;

type EventObserver = (event: EventId, fields: Readonly<Record<string, unknown>>) => void;
const observers: EventObserver[] = [];

/** Calls the observer for every event, whatever the log level. */
export const observeEvents = (observer: EventObserver): () => void => {
    observers.push(observer);
    return () => void observers.splice(observers.indexOf(observer), 1);
};

/** Whether the event reports a broken invariant. */
export const isInvariantEvent = (event: EventId): boolean => event > firstInvariant;

/** Logs a numbered event as one JSON object on one line. */
export const emit = (event: EventId, fields: Readonly<Record<string, unknown>> = {}): void => {
    observers.forEach(observer => observer(event, fields));
    const level = isInvariantEvent(event) ? "error" : warnings.has(event) ? "warn" : "info";
    log[level](JSON.stringify({ time: new Date().toISOString(), level, event, name: EventId[event], ...fields }));
};

/** Lines a second that are written on average and at once; a request takes about three. */
const linesPerS = 400;
const burstLines = 1_200;
/** Bytes that may wait for a slow reader before lines are dropped. */
const maxWaitingBytes = 262_144;
/** Time for which lines are collected into one write. */
const flushMs = 50;

/** Where log lines go. */
export interface LogStream {
    write(text: string): boolean;
    readonly writableLength: number;
}

/** A writer of lines that bounds their volume and drops them rather than wait. */
const createLineWriter = (stream: LogStream): (line: string) => void => {
    let allowance = burstLines;
    let refilledAt = performance.now();
    let waiting: string[] = [];
    let dropped = 0;
    const flush = (): void => {
        const lines = waiting;
        waiting = [];
        if (dropped > 0) {
            const fields = { time: new Date().toISOString(), level: "warn", event: EventId.LinesDropped, name: EventId[EventId.LinesDropped], lines: dropped };
            lines.push(JSON.stringify(fields));
            dropped = 0;
        }
        stream.write(`${lines.join("\n")}\n`);
    };
    return line => {
        const now = performance.now();
        allowance = Math.min(burstLines, allowance + (now - refilledAt) * linesPerS / 1_000);
        refilledAt = now;
        if (allowance < 1 || stream.writableLength > maxWaitingBytes) {
            dropped++;
            return;
        }
        allowance--;
        if (waiting.push(line) === 1) {
            setTimeout(flush, flushMs);
        }
    };
};

/** Sets the least level that is logged and writes the lines to a stream. */
export const setupLogs = (level: log.LogLevelDesc, stream: LogStream = process.stderr): void => {
    const write = stream === process.stderr ? (line: string) => void stream.write(`${line}\n`) : createLineWriter(stream);
    log.methodFactory = () => line => write(line as string);
    log.setLevel(level, false);
};
