import type { Random } from "../../src/utils/random";
import { pick } from "../../src/utils/random";
import type { LoadOptions } from "./loadOptions";

/** What marks the end of an answer. */
export enum Framing {
    Chunks = "chunks",
    Length = "length",
    /** The end of the connection. */
    Connection = "connection",
}

/** What an upstream does wrong with an answer. */
export enum AnswerFault {
    ResetMidway = "reset-midway",
    CloseBeforeHead = "close-before-head",
    /** Closes the connection in order, within an answer that is framed by a length. */
    CloseMidway = "close-midway",
    ServerError = "server-error",
    InvalidBytes = "invalid-bytes",
}

/** A route of the run. */
export interface LoadRoute {
    readonly name: string;
    readonly routeKind: string;
    readonly isStream: boolean;
}

export const loadRoutes: readonly LoadRoute[] = [
    { name: "live", routeKind: "streaming", isStream: true },
    { name: "again", routeKind: "idempotent", isStream: false },
    { name: "once", routeKind: "non_idempotent", isStream: false },
];

/** Timeout of each route. */
export const routeTimeoutMs = 12_000;

/** All that is drawn for one request. */
export interface RequestPlan {
    readonly id: string;
    readonly route: LoadRoute;
    readonly deadlineMs: number;
    readonly bodyBytes: number;
    readonly isBodyChunked: boolean;
    /** Time over which the body is sent; 0 if it is sent at once. */
    readonly bodyMs: number;
    /** Time for which the caller reads nothing after the head; 0 for a caller that reads at once. */
    readonly readPauseMs: number;
    readonly answerBytes: number;
    readonly framing: Framing;
    readonly workMs: number;
    readonly eventGapMs: number;
    readonly fault: AnswerFault | undefined;
}

/** Bodies cluster around this size, at which nodes ask for memory. */
const boundBytes = 65_536;
const boundSpreadBytes = 2_048;
const maxBodyMs = 3_000;
const minDeadlineMs = 4_000;
const maxReadPauseMs = 1_500;
/** Events of a stream. */
export const eventCount = 13;

const drawBodyBytes = (random: Random, max: number): number => {
    const kind = random();
    if (kind < 0.4 && max > boundBytes + boundSpreadBytes) {
        return boundBytes + Math.round((random() - 0.5) * 2 * boundSpreadBytes);
    }
    return Math.round((kind < 0.6 ? random() * 0.02 : random()) * max);
};

/** Draws a request. */
export const drawRequest = (id: string, { maxBodyBytes, maxAnswerBytes, maxWorkMs, faultyPercent }: LoadOptions, random: Random): RequestPlan => {
    const route = pick(loadRoutes, random)!;
    const framings = route.isStream ? [Framing.Chunks, Framing.Connection] : [Framing.Chunks, Framing.Length, Framing.Connection];
    return {
        id,
        route,
        deadlineMs: Math.round(minDeadlineMs + random() * (routeTimeoutMs - minDeadlineMs)),
        bodyBytes: drawBodyBytes(random, maxBodyBytes),
        isBodyChunked: random() < 0.5,
        bodyMs: random() < 0.2 ? random() * maxBodyMs : 0,
        readPauseMs: random() < 0.2 ? random() * maxReadPauseMs : 0,
        answerBytes: Math.round(random() * random() * maxAnswerBytes),
        framing: pick(framings, random)!,
        workMs: random() < 0.1 ? 300 + (maxWorkMs - 300) * random() : 60 * random(),
        eventGapMs: random() < 0.2 ? maxWorkMs / eventCount * random() : 10 * random(),
        fault: random() * 100 < faultyPercent ? pick(Object.values(AnswerFault), random) : undefined,
    };
};

/** The body of a request. */
export const requestBodyOf = ({ bodyBytes }: RequestPlan): Buffer => Buffer.alloc(bodyBytes, "question ");

/** The parts of an answer's body, one for each event of a stream. */
export const answerPartsOf = ({ id, route, answerBytes }: RequestPlan): readonly Buffer[] => {
    if (!route.isStream) {
        return [Buffer.from(`${id} ${"x".repeat(answerBytes)}`)];
    }
    const padding = "x".repeat(Math.ceil(answerBytes / eventCount));
    return [...Array(eventCount).keys()].map(index => Buffer.from(`id: ${index + 1}\ndata: ${id} ${padding}\n\n`));
};
