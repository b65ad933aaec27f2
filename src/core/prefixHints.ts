import { sha256Hex } from "../utils/hash";

/** Characters of a prompt that name its prefix. */
const prefixCharacters = 512;
/** Prefixes that a node remembers. */
const maxPrefixes = 4_096;

/** Remembers which runner last answered a prompt prefix: a hint that its cache holds it, never a certainty. */
export class PrefixHints {
    private readonly runners = new Map<string, string>();

    private constructor() {}

    /** Makes hints that know nothing. */
    static create(): PrefixHints {
        return new PrefixHints();
    }

    /** Names the prefix of a prompt. */
    static keyOf(artifact: string, prompt: string): string {
        return sha256Hex(`${artifact}\n${prompt.slice(0, prefixCharacters)}`).slice(0, 16);
    }

    /** Notes where a prompt was answered; the oldest note makes room. */
    record(key: string, runner: string): void {
        this.runners.delete(key);
        this.runners.set(key, runner);
        if (this.runners.size > maxPrefixes) {
            this.runners.delete(this.runners.keys().next().value!);
        }
    }

    /** Runners that may hold the prefix. */
    find(key: string): readonly string[] {
        const runner = this.runners.get(key);
        return runner === undefined ? [] : [runner];
    }
}
