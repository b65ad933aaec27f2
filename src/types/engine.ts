import type { EngineOrder, OrderAnswer } from "./order";
import type { EngineReport } from "./report";

/** A generation request that a node sends to an engine. */
export interface EngineRequest {
    /** Identifies this attempt; the engine returns it in its answer. */
    readonly attemptId: string;
    readonly path: string;
    /** The caller's body with the artifact in `model`; the answer is always streamed. */
    readonly body: Readonly<Record<string, unknown>>;
    /** Number of chunks that the caller has received already, and their text; a resumed stream continues after them. */
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
    /** The end marker was received. */
    Complete = "whole",
    /** The connection ended without the end marker. */
    Truncated = "truncated",
    /** An event of another request was received. */
    Mismatch = "mismatch",
}

/** A client of one engine. */
export interface Engine {
    /** Streams an answer; throws a failure with its verdict before the first chunk. */
    generate(req: EngineRequest, onChunk: (chunk: EngineChunk) => Promise<void> | void): Promise<StreamEnd>;
    report(): Promise<EngineReport>;
    order(order: EngineOrder): Promise<OrderAnswer>;
}

/** Returns the client of the engine at a URL. */
export type EngineLookup = (url: string) => Engine;
