import { sha256Hex } from "../utils/hash";

/** Leading characters of a prompt that identify its prefix. */
const prefixCharacters = 512;
/** Prefixes kept; beyond this the least recently used is evicted. */
const maxPrefixes = 4_096;

/** Maps each prompt prefix to the runner that last answered it. This is only a hint that the runner's cache still contains the prefix. */
export class PrefixHints {
    private readonly runnerByPrefix = new Map<string, string>();

    private constructor() {}

    /** Creates an empty map. */
    static create(): PrefixHints {
        return new PrefixHints();
    }

    /** Key of a prompt's prefix under an artifact. */
    static keyOf(artifact: string, prompt: string): string {
        return sha256Hex(`${artifact}\n${prompt.slice(0, prefixCharacters)}`).slice(0, 16);
    }

    /** Records the runner that answered a prompt with this prefix. */
    record(key: string, runner: string): void {
        this.runnerByPrefix.delete(key);
        this.runnerByPrefix.set(key, runner);
        if (this.runnerByPrefix.size > maxPrefixes) {
            this.runnerByPrefix.delete(this.runnerByPrefix.keys().next().value!);
        }
    }

    /** Runners that may have the prefix in their cache. */
    find(key: string): readonly string[] {
        const runner = this.runnerByPrefix.get(key);
        return runner === undefined ? [] : [runner];
    }
}
