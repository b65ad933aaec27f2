import type { ModelRequest } from "../types/modelRequest";
import { artifactKey } from "../types/modelRequest";

/** Prompt parts tracked for one runner; beyond this the least recently used are evicted. */
const maxParts = 512;
/** Prompt parts tracked for all runners; beyond this those of the runner that was used least recently are forgotten. */
const maxPartsOfAll = 65_536;
/** Longer IDs of parts are not tracked: callers choose them. */
const maxKeyLength = 512;
/** A part that was not used for this long has probably been evicted from the runner's cache. */
const partLifetimeMs = 30_000;

const partKey = (request: ModelRequest, id: string): string => `${artifactKey(request.model, request.adapter)} ${id}`;

/** Tracks which prompt parts each runner has recently prefilled for this node, to estimate what its prefix cache contains. */
export class PromptCacheTracker {
    /** In the order of the runners' last use. */
    private readonly lastUseByRunner = new Map<string, Map<string, number>>();
    private partCount = 0;

    private constructor(private readonly now: () => number) {}

    /** Number of parts that are tracked, for all runners. */
    get size(): number {
        return this.partCount;
    }

    /** Creates an empty tracker. */
    static create(now: () => number = () => performance.now()): PromptCacheTracker {
        return new PromptCacheTracker(now);
    }

    /** Records that a runner has prefilled a prompt. */
    record(runner: string, request: ModelRequest): void {
        const parts = this.lastUseByRunner.get(runner) ?? new Map<string, number>();
        this.forget(runner);
        this.lastUseByRunner.set(runner, parts);
        for (const { id } of request.parts) {
            const key = partKey(request, id);
            if (key.length <= maxKeyLength) {
                parts.delete(key);
                parts.set(key, this.now());
            }
        }
        for (const key of parts.keys()) {
            if (parts.size <= maxParts) {
                break;
            }
            parts.delete(key);
        }
        this.partCount += parts.size;
        for (const leastUsed of this.lastUseByRunner.keys()) {
            if (this.partCount <= maxPartsOfAll) {
                break;
            }
            this.forget(leastUsed);
        }
    }

    /** Estimated tokens at the start of the prompt that the runner has cached and need not prefill again. */
    cachedTokens(runner: string, request: ModelRequest): number {
        const parts = this.lastUseByRunner.get(runner);
        const oldestValidAt = this.now() - partLifetimeMs;
        let cached = 0;
        for (const { id, tokens } of request.parts) {
            if ((parts?.get(partKey(request, id)) ?? -Infinity) < oldestValidAt) {
                break;
            }
            cached += tokens;
        }
        return cached;
    }

    /** Removes a runner, or only its parts for one model. */
    forget(runner: string, model?: string): void {
        const parts = this.lastUseByRunner.get(runner);
        if (!parts) {
            return;
        }
        this.partCount -= parts.size;
        if (model === undefined) {
            this.lastUseByRunner.delete(runner);
            return;
        }
        for (const key of parts.keys()) {
            if (key.startsWith(`${model} `) || key.startsWith(`${model}/`)) {
                parts.delete(key);
            }
        }
        this.partCount += parts.size;
    }
}
