import type { Quarantine } from "../types/quarantine";
import { getOrCreate } from "../utils/maps";
import { isRequestKey } from "./requestKeys";

/** Crashes with a part among the suspects, and no answer on it since, after which the part counts as their cause. */
export const minCrashesOfQuarantine = 3;
/** The same for a part on which runners have answered before. */
const minCrashesOfAnswered = 5;
/** At least so many of these must not be explained by another part: two parts that crash runners may be in progress at the same one. */
const minUnexplainedCrashes = 2;
/** Weight of a crash at which a more specific part, seen at no other crash, may have been the cause. */
const ambiguousWeight = 0.5;
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

const compare = (a: Suspicion, b: Suspicion): number => b.requests.length - a.requests.length || b.depth - a.depth || (a.part < b.part ? -1 : 1);

/** Whether each suspected request with one part also contained another one, but not the other way round. */
const isMoreSpecific = (one: Suspicion, other: Suspicion): boolean =>
    one.requests.length < other.requests.length && one.requests.every(request => request.includes(other.part));

/**
 * How much the crashes speak for a part on which runners have answered before. A crash counts less if a request there contained a more specific new part as well, and not at all if
 * that one was there at another crash too: a common part is in progress at any crash.
 */
const weigh = ({ crashes }: Suspicion, alternatives: readonly Suspicion[]): number => {
    const weightOf = (crash: CrashRecord): number => {
        const strikes = alternatives.filter(other => other.crashes.includes(crash)).map(other => separateCrashes(other.crashes).length);
        if (strikes.length === 0) {
            return 1;
        }
        return Math.max(...strikes) > 1 ? 0 : ambiguousWeight;
    };
    return separateCrashes(crashes).reduce((sum, crash) => sum + weightOf(crash), 0);
};

/** The suspicion that explains most crashes; undefined if none is left that explains enough. */
const findWorst = (suspicions: readonly Suspicion[], explained: ReadonlySet<CrashRecord>): Suspicion | undefined => {
    const countUnexplained = ({ crashes }: Suspicion): number => separateCrashes(crashes.filter(crash => !explained.has(crash))).length;
    const possible = suspicions.filter(suspicion => countUnexplained(suspicion) >= minUnexplainedCrashes);
    // A request that came several times does not exclude that a part which it shares with other such requests is the cause.
    return possible.filter(suspicion => !possible.some(other => !isRequestKey(other.part) && isMoreSpecific(other, suspicion)))
        .sort((a, b) => countUnexplained(b) - countUnexplained(a) || compare(a, b))[0];
};

/** Whether a new suspicion may be the cause in place of a common one: the key of a request only if the request was in progress at several crashes. */
const mayExplain = ({ part, crashes }: Suspicion): boolean => !isRequestKey(part) || separateCrashes(crashes).length > 1;

/**
 * Whether enough crashes speak for a part beside those that other parts explain. The key of a request may be shared by sound requests, which are in progress at any crash, and
 * by requests whose prompts crash runners: a crash with a prompt part that only some of the requests with the key contained does not count for the key.
 */
const isNeeded = ({ part, requests, crashes }: Suspicion, others: readonly Suspicion[]): boolean => {
    if (!isRequestKey(part)) {
        return true;
    }
    const promptParts = others.filter(other => !isRequestKey(other.part) && !requests.every(request => request.includes(other.part)));
    return separateCrashes(crashes.filter(crash => !promptParts.some(other => other.crashes.includes(crash)))).length >= minCrashesOfQuarantine;
};

/** Other parts that every suspected request with the part contained: which of them is the cause is not known yet. */
const companionsOf = ({ part, requests, crashes }: Suspicion): readonly string[] =>
    requests[0]!.filter(other => other !== part && requests.every(request => request.includes(other)) && !crashes.some(({ cleared }) => cleared.has(other)));

/**
 * Finds the parts of prompts that explain crashes of runners, the more specific ones and those that explain most first. What it explains counts less against other parts
 * that happened to be in progress at the same runners.
 */
export const findCrashingParts = (
    records: readonly CrashRecord[],
    wasAnswered: (part: string) => boolean = () => false,
): readonly Quarantine[] => {
    const quarantines: Quarantine[] = [];
    const explained = new Set<CrashRecord>();
    const all = suspicionsOf([...records].sort((a, b) => a.at - b.at));
    const isSufficient = (suspicion: Suspicion): boolean =>
        separateCrashes(suspicion.crashes).length >= minCrashesOfQuarantine &&
        (!wasAnswered(suspicion.part) ||
            weigh(suspicion, all.filter(other => !wasAnswered(other.part) && mayExplain(other) && isMoreSpecific(other, suspicion))) >= minCrashesOfAnswered);
    const sufficient = all.filter(isSufficient);
    let suspicions = sufficient.filter(suspicion => isNeeded(suspicion, sufficient));
    for (let worst = findWorst(suspicions, explained); worst; worst = findWorst(suspicions, explained)) {
        quarantines.push({ parts: [worst.part, ...companionsOf(worst)], crashes: separateCrashes(worst.crashes).map(({ id, at }) => ({ id, at })) });
        worst.crashes.forEach(crash => explained.add(crash));
        const { part } = worst;
        suspicions = suspicions.filter(suspicion => suspicion.part !== part);
    }
    return quarantines;
};
