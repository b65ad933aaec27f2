import type { IncomingMessage, ServerResponse } from "node:http";
import type { BodyDenial, BodyGrant, MemoryBudget } from "../core/memoryBudget";
import { maxSmallBodyBytes } from "../core/memoryBudget";
import { RequestStep } from "../types/requestStep";
import type { BodyReadEnd, BodyTimeLimits } from "../utils/bodySource";
import { BodySource } from "../utils/bodySource";
import type { BodyReadResult } from "../utils/transport";
import { TurnPacer } from "../utils/turnPacer";
import type { BodyCutoff } from "./bodyCutoff";
import { BodyMemory } from "./bodyMemory";
import { BodyStart } from "./bodyStart";
import type { RequestProgress } from "./requestProgress";

/** Longest pause of a sender while other bodies wait for the memory that its own has been granted. */
const maxSilenceMs = 1_500;
/** Share of a request's time for which its body may wait for memory. */
const maxWaitShare = 0.5;

/** Shared by the bodies of all requests of the process. */
const pacer = TurnPacer.create();

const failedKinds = { full: "too-large", slow: "slow", stopped: "stopping", lost: "lost" } as const;

/** Outcome of reading the body of a request. */
export type RequestBodyResult =
    | (BodyReadResult & { /** Where a large body lies; undefined for a small one. */ readonly memory?: BodyMemory; })
    | { readonly kind: "stopping"; }
    | { readonly kind: "no-memory"; readonly denial: BodyDenial; };

/** Limits on reading the body of a request. */
export interface RequestBodyLimits {
    readonly maxBytes: number;
    readonly timeoutMs: number;
    /** Aborts when the caller disconnects. */
    readonly signal: AbortSignal;
    readonly cutoff: BodyCutoff;
    readonly progress: RequestProgress;
    /** Called with each part of the body as it arrives. */
    readonly onPart: (bytes: Buffer) => void;
}

/** Gives memory back once the request has ended. */
const releaseAtEnd = (res: ServerResponse, grant: BodyGrant): void => {
    if (res.closed) {
        grant.release();
    }
    else {
        res.once("close", () => grant.release());
    }
};

/** Size that the headers state; undefined for a chunked body. */
const statedBytesOf = ({ headers }: IncomingMessage): number | undefined =>
    headers["transfer-encoding"] === undefined ? Number(headers["content-length"] ?? 0) : undefined;

/** Reads the body of one request. */
class RequestBodyReader {
    private readonly dueAt: number;
    private readonly source: BodySource;
    private buffer: Buffer = Buffer.alloc(0);
    private filledBytes = 0;
    /** Aborts when the caller disconnects, or when the process exits too soon. */
    private readonly stop = new AbortController();

    constructor(
        req: IncomingMessage,
        private readonly res: ServerResponse,
        private readonly memory: MemoryBudget,
        private readonly limits: RequestBodyLimits,
    ) {
        this.dueAt = performance.now() + limits.timeoutMs;
        limits.signal.addEventListener("abort", () => this.stop.abort(), { once: true });
        if (limits.signal.aborted) {
            this.stop.abort();
        }
        this.source = BodySource.create(req);
    }

    /** Reads the body, of the size that is stated if any. */
    async run(bytes: number | undefined): Promise<RequestBodyResult> {
        const unwatch = this.limits.cutoff.watch(() => this.stop.abort());
        try {
            return await (bytes === undefined ? this.readChunked() : this.readStated(bytes));
        }
        finally {
            unwatch();
        }
    }

    /** Reads a body of a known size into one buffer. */
    private async readStated(bytes: number): Promise<RequestBodyResult> {
        const grant = bytes === 0 ? undefined : await this.requestMemory(bytes);
        if (grant?.isGranted === false) {
            return this.denied(grant);
        }
        const memory = grant && bytes > maxSmallBodyBytes ? BodyMemory.create(this.res, grant, bytes) : undefined;
        if (grant && !memory) {
            releaseAtEnd(this.res, grant);
        }
        this.buffer = memory?.bytes ?? Buffer.allocUnsafeSlow(bytes);
        const end = await this.fill();
        return end === "whole" ? { kind: end, body: this.buffer, memory } : { kind: failedKinds[end] };
    }

    /**
     * Reads a body of unknown size. Beyond that of a small body it is granted the largest size at once: two bodies that are half read never wait for each other's
     * memory.
     */
    private async readChunked(): Promise<RequestBodyResult> {
        const { maxBytes } = this.limits;
        const firstBytes = Math.min(maxBytes, maxSmallBodyBytes);
        const first = await this.requestMemory(firstBytes);
        if (!first.isGranted) {
            return this.denied(first);
        }
        releaseAtEnd(this.res, first);
        const firstPart = BodyStart.create(firstBytes);
        const firstEnd = await this.read(chunk => firstPart.take(chunk));
        if (firstEnd === "whole") {
            first.shrinkTo(firstPart.length);
            return { kind: firstEnd, body: firstPart.bytes };
        }
        if (firstEnd !== "full" || firstPart.length > maxBytes) {
            return { kind: failedKinds[firstEnd] };
        }
        const whole = await this.requestMemory(maxBytes);
        if (!whole.isGranted) {
            return this.denied(whole);
        }
        const memory = BodyMemory.create(this.res, whole, maxBytes);
        this.buffer = memory.bytes;
        this.take(firstPart.bytes);
        first.release();
        const end = await this.fill();
        if (end !== "whole") {
            return { kind: failedKinds[end] };
        }
        memory.shrinkTo(this.filledBytes);
        return { kind: end, body: memory.bytes, memory };
    }

    private fill(): Promise<BodyReadEnd> {
        return this.read(chunk => this.take(chunk));
    }

    private read(take: (chunk: Buffer) => boolean): Promise<BodyReadEnd> {
        const { limits: { onPart, progress }, timeLimits } = this;
        progress.step = RequestStep.Body;
        return this.source.read(chunk => {
            onPart(chunk);
            progress.bodyBytes += chunk.length;
            return take(chunk);
        }, timeLimits);
    }

    private take(chunk: Buffer): boolean {
        const fits = this.filledBytes + chunk.length <= this.buffer.length;
        if (fits) {
            this.filledBytes += chunk.copy(this.buffer, this.filledBytes);
        }
        return fits;
    }

    private requestMemory(bytes: number): Promise<BodyGrant | BodyDenial> {
        this.limits.progress.step = RequestStep.Memory;
        return this.memory.requestBody(bytes, Math.max(0, maxWaitShare * this.remainingMs), this.stop.signal);
    }

    private denied(denial: BodyDenial): RequestBodyResult {
        return this.stop.signal.aborted ? { kind: "stopping" } : { kind: "no-memory", denial };
    }

    private get remainingMs(): number {
        return this.dueAt - performance.now();
    }

    private get timeLimits(): BodyTimeLimits {
        return {
            timeoutMs: Math.max(0, this.remainingMs),
            silenceMs: maxSilenceMs,
            maySilenceLast: () => this.memory.waiting === 0,
            pacer,
            signal: this.stop.signal,
        };
    }
}

/** Reads the body of a request once the process has memory for it. */
export const readRequestBody = (
    req: IncomingMessage,
    res: ServerResponse,
    memory: MemoryBudget,
    limits: RequestBodyLimits,
): Promise<RequestBodyResult> => {
    const bytes = statedBytesOf(req);
    if (bytes !== undefined && bytes > limits.maxBytes) {
        return Promise.resolve({ kind: "too-large" });
    }
    return new RequestBodyReader(req, res, memory, limits).run(bytes);
};
