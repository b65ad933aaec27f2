import type { PromptQuarantine } from "../types/promptQuarantine";
import { getOrCreate } from "../utils/maps";

/** Crashes with a part among the suspects, and no answer on it since, after which the part counts as their cause. */
export const minCrashesOfQuarantine = 3;
/** Crashes closer together than this count once: many runners may lose power at the same moment. */
const minCrashGapMs = 150;

/** A crash with the shared parts of the requests that may have caused it. */
export interface CrashRecord {
    readonly id: string;
    readonly at: number;
    readonly suspects: readonly (readonly string[])[];
    readonly cleared: ReadonlySet<string>;
}

/** The crashes that a part may have caused. */
interface Suspicion {
    readonly part: string;
    readonly crashes: CrashRecord[];
    /** Suspected requests that contain the part. */
    readonly requests: (readonly string[])[];
    /** Position of the part in its prompts; later parts are shared by fewer requests. */
    readonly depth: number;
}

const suspicionsOf = (crashes: readonly CrashRecord[]): readonly Suspicion[] => {
    const byPart = new Map<string, Suspicion>();
    for (const crash of crashes) {
        for (const request of crash.suspects) {
            request.forEach((part, depth) => {
                if (!crash.cleared.has(part)) {
                    const suspicion = getOrCreate(byPart, part, () => ({ part, crashes: [], requests: [], depth }));
                    suspicion.requests.push(request);
                    if (suspicion.crashes.at(-1) !== crash) {
                        suspicion.crashes.push(crash);
                    }
                }
            });
        }
    }
    return [...byPart.values()];
};

/** The crashes that count: the first of each group that happened at nearly the same time. */
const separateCrashes = (crashes: readonly CrashRecord[]): readonly CrashRecord[] => {
    let lastAt = Number.NEGATIVE_INFINITY;
    return crashes.filter(({ at }) => {
        const isSeparate = at - lastAt >= minCrashGapMs;
        lastAt = isSeparate ? at : lastAt;
        return isSeparate;
    });
};

const compare = (a: Suspicion, b: Suspicion): number =>
    separateCrashes(b.crashes).length - separateCrashes(a.crashes).length || b.requests.length - a.requests.length || b.depth - a.depth ||
    (a.part < b.part ? -1 : 1);

/** Other parts that every suspected request with the part contained: which of them is the cause is not known yet. */
const companionsOf = ({ part, requests, crashes }: Suspicion): readonly string[] =>
    requests[0]!.filter(other => other !== part && requests.every(request => request.includes(other)) && !crashes.some(({ cleared }) => cleared.has(other)));

/**
 * Finds the parts of prompts that explain crashes of runners, the one that explains most first. What it explains no longer counts against other
 * parts that happened to be in progress at the same runners.
 */
export const findCrashingParts = (records: readonly CrashRecord[]): readonly PromptQuarantine[] => {
    const quarantines: PromptQuarantine[] = [];
    let unexplained = [...records].sort((a, b) => a.at - b.at);
    for (;;) {
        const [worst] = [...suspicionsOf(unexplained)].sort(compare);
        const crashes = worst ? separateCrashes(worst.crashes) : [];
        if (!worst || crashes.length < minCrashesOfQuarantine) {
            return quarantines;
        }
        quarantines.push({ parts: [worst.part, ...companionsOf(worst)], crashes: crashes.map(({ id, at }) => ({ id, at })) });
        unexplained = unexplained.filter(crash => !worst.crashes.includes(crash));
    }
};
