import type { ModelRequest } from "../types/modelRequest";
import { artifactKey } from "../types/modelRequest";
import { getOrCreate } from "../utils/maps";

/** Parts remembered for one runner; the oldest are forgotten first. */
const maxParts = 512;
/** A runner has likely dropped a part that was not used for this long. */
const partLifetimeMs = 30_000;

const partKey = (need: ModelRequest, id: string): string => `${artifactKey(need.model, need.adapter)} ${id}`;

/** Which parts of prompts each runner has lately read for this node. */
export class PromptCacheTracker {
    private readonly byRunner = new Map<string, Map<string, number>>();

    private constructor(private readonly now: () => number) {}

    /** Makes an empty record. */
    static create(now: () => number = () => performance.now()): PromptCacheTracker {
        return new PromptCacheTracker(now);
    }

    /** Notes that a runner has read a prompt. */
    record(runner: string, need: ModelRequest): void {
        const parts = getOrCreate(this.byRunner, runner, () => new Map<string, number>());
        for (const { id } of need.parts) {
            const key = partKey(need, id);
            parts.delete(key);
            parts.set(key, this.now());
        }
        for (const key of parts.keys()) {
            if (parts.size <= maxParts) {
                break;
            }
            parts.delete(key);
        }
    }

    /** Tokens of the prompt that the runner need not read again, as far as this node knows. */
    cachedTokens(runner: string, need: ModelRequest): number {
        const parts = this.byRunner.get(runner);
        const oldest = this.now() - partLifetimeMs;
        let kept = 0;
        for (const { id, tokens } of need.parts) {
            if ((parts?.get(partKey(need, id)) ?? -Infinity) < oldest) {
                break;
            }
            kept += tokens;
        }
        return kept;
    }

    /** Forgets a runner, or only what it kept for one model. */
    forget(runner: string, model?: string): void {
        const parts = this.byRunner.get(runner);
        if (model === undefined || !parts) {
            this.byRunner.delete(runner);
            return;
        }
        for (const key of parts.keys()) {
            if (key.startsWith(`${model} `) || key.startsWith(`${model}/`)) {
                parts.delete(key);
            }
        }
    }
}
