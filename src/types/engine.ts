import type { EngineOrder, OrderAnswer } from "./order";
import type { EngineReport } from "./report";

/** A generation that a node asks of an engine. */
export interface EngineRequest {
    /** Names this attempt; the engine repeats it in its answer. */
    readonly attemptId: string;
    readonly path: string;
    /** The caller's body with the artifact in `model`, always streamed. */
    readonly body: Readonly<Record<string, unknown>>;
    /** Pieces of the answer that the caller has already; a resumed stream goes on after them. */
    readonly resumeOffset: number;
    readonly resumeText: string;
    readonly timeoutMs: number;
    readonly signal: AbortSignal;
}

/** One event of an engine's stream. */
export interface EngineChunk {
    /** The event's JSON, parsed. */
    readonly data: Readonly<Record<string, unknown>>;
    /** Text that the event adds to the answer. */
    readonly text: string;
}

/** How an engine's stream ended. */
export enum StreamEnd {
    /** The end mark came. */
    Complete = "whole",
    /** The connection ended without the end mark. */
    Truncated = "truncated",
    /** An event of another request came. */
    Mismatch = "mismatch",
}

/** A client of one engine. */
export interface Engine {
    /** Streams an answer; throws a failure with its verdict before the first chunk. */
    generate(req: EngineRequest, onChunk: (chunk: EngineChunk) => Promise<void> | void): Promise<StreamEnd>;
    report(): Promise<EngineReport>;
    order(order: EngineOrder): Promise<OrderAnswer>;
}

/** Finds the client of an engine by its URL. */
export type EngineLookup = (url: string) => Engine;
