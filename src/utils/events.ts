import log from "loglevel";
import { EventId } from "../types/eventId";

/** Severity of each event; an event not listed is information. */
const warnings: ReadonlySet<EventId> = new Set([
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
    EventId.StewardFailed,
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

/** Sets the least level that is logged and writes the lines to standard error. */
export const setupLogs = (level: log.LogLevelDesc): void => {
    log.methodFactory = () => line => void process.stderr.write(`${line as string}\n`);
    log.setLevel(level, false);
};
