import type { Readable } from "node:stream";
import { maxTimerMs } from "./time";
import type { TurnPacer } from "./turnPacer";

/** Limits on the time in which a body is read. */
export interface BodyTimeLimits {
    /** Time for the whole body. */
    readonly timeoutMs: number;
    /** Maximum time without a byte; unlimited if undefined. */
    readonly silenceMs?: number;
    /** Whether a longer time without a byte is accepted for now. */
    readonly maySilenceLast?: () => boolean;
    /** Bounds what one turn of the event loop reads. */
    readonly pacer?: TurnPacer;
    /** Ends the reading: `stopped`. */
    readonly signal?: AbortSignal;
}

/** How reading a body ended; after `full` and `stopped` the rest may be read later. */
export type BodyReadEnd = "whole" | "full" | "slow" | "stopped" | "lost";

/** After a standstill of this process its timers fire before it reads what has arrived: a sender counts as silent only at the second check. */
const checksOfSilence = 2;

/** One part of the reading of a body. */
interface Reading {
    readonly take: (chunk: Buffer) => boolean;
    readonly pacer: TurnPacer | undefined;
    onChunk(): void;
    finish(end: BodyReadEnd): void;
}

/**
 * Reads a body in one or more parts. It listens to the stream from its creation on: a stream whose last bytes have been taken ends also while its reading is paused,
 * and tells so only once.
 */
export class BodySource {
    /** How the stream ended; undefined while more may come. */
    private end: "whole" | "lost" | undefined;
    private reading: Reading | undefined;
    /** Whether this process does not read the stream for now, so that its sender cannot go on. */
    private isPaced = false;

    private constructor(private readonly stream: Readable) {
        if (stream.readableEnded) {
            this.end = "whole";
        }
        else if (stream.destroyed) {
            this.end = "lost";
        }
        stream.on("data", (chunk: Buffer) => this.onData(chunk));
        stream.once("end", () => this.onEnd("whole"));
        stream.on("error", () => this.onEnd("lost"));
        stream.once("close", () => this.onEnd("lost"));
        stream.pause();
    }

    /** Creates the reader of a body; nothing else may read the stream before it has ended its work. */
    static create(stream: Readable): BodySource {
        return new BodySource(stream);
    }

    /** Reads until `take` returns false for a chunk, which it has taken all the same: `full`. */
    read(take: (chunk: Buffer) => boolean, { timeoutMs, silenceMs, maySilenceLast = () => false, pacer, signal }: BodyTimeLimits): Promise<BodyReadEnd> {
        if (this.end !== undefined || signal?.aborted) {
            return Promise.resolve(this.end ?? "stopped");
        }
        return new Promise(resolve => {
            let silences = 0;
            const onSilence = (): void => {
                silences = this.isPaced || maySilenceLast() ? 0 : silences + 1;
                if (silences < checksOfSilence) {
                    silenceTimer?.refresh();
                }
                else {
                    finish("slow");
                }
            };
            const onAbort = (): void => finish("stopped");
            const finish = (end: BodyReadEnd): void => {
                this.reading = undefined;
                clearTimeout(timer);
                clearTimeout(silenceTimer);
                signal?.removeEventListener("abort", onAbort);
                this.stream.pause();
                resolve(end);
            };
            const timer = setTimeout(() => finish("slow"), Math.min(timeoutMs, maxTimerMs));
            const silenceTimer = silenceMs === undefined ? undefined : setTimeout(onSilence, silenceMs / checksOfSilence);
            signal?.addEventListener("abort", onAbort, { once: true });
            const onChunk = (): void => {
                silences = 0;
                silenceTimer?.refresh();
            };
            this.reading = { take, pacer, onChunk, finish };
            this.stream.resume();
        });
    }

    private onData(chunk: Buffer): void {
        const { reading } = this;
        if (!reading) {
            return;
        }
        reading.onChunk();
        if (!reading.take(chunk)) {
            reading.finish("full");
        }
        else if (reading.pacer?.count(chunk.length, () => this.onTurn()) === false) {
            this.isPaced = true;
            this.stream.pause();
        }
    }

    private onTurn(): void {
        this.isPaced = false;
        if (this.reading) {
            this.reading.onChunk();
            this.stream.resume();
        }
    }

    private onEnd(end: "whole" | "lost"): void {
        this.end ??= end;
        this.reading?.finish(this.end);
    }
}
