import type { GenerationTerms } from "../types/sendPermit";
import { PlaceLack } from "../types/sendPermit";
import { hashToUnit } from "../utils/hash";
import type { ScheduledPrefill } from "./prefillSchedule";
import { isShortPrefill, maxPrefillShare, prefillWaitMs, removePastPrefills } from "./prefillSchedule";

/**
 * Part of a runner's memory that is given away. The rest covers outputs that are longer than expected, short prompts of urgent routes that are sent without waiting, and
 * requests that nodes have not reported yet.
 */
export const maxMemoryShare = 0.85;
/**
 * Part of a runner's memory up to which a short prompt of an urgent route may be sent before its place is known. Several nodes may do so at the same time: seven such fit into
 * what is not given away.
 */
export const maxUnaskedShare = 0.02;
/** Allowed gap between events, assumed while no stream with an objective is in progress. */
const defaultGapMs = 600;
/** Longest gap that is planned for; prompts count for no longer than this, unless they take more than their part of it. */
const maxGapMs = 2_000;
/**
 * A node that gives itself less memory than a request needs leaves as much time again between two. A stream of 58 events took 2 to 4 s on a loaded runner; too short a time
 * let the long prompts of 65 nodes that reached no other exceed a runner's memory.
 */
const turnSpacingFactor = 2;
const turnHoldMs = 4_000;

/** Whether a generation may be sent before its place is known. */
export const maySendUnasked = ({ isUrgent, tokens, kvTokens }: Pick<GenerationTerms, "isUrgent" | "tokens" | "kvTokens">): boolean =>
    isUrgent && tokens <= maxUnaskedShare * kvTokens;

/** Generations whose places were given, and what is known of the others. */
export interface KnownGenerations {
    readonly placed: Iterable<GenerationTerms>;
    /** Tokens in progress without a place, as nodes reported them, and an estimate of requests that no node has reported yet. */
    readonly unplacedTokens: number;
    readonly unreported: number;
}

/** State of a runner's terms, for logs and gauges. */
export interface GenerationUse {
    readonly tokens: number;
    readonly limitTokens: number;
    readonly gapMs: number;
}

/** Whether a generation does not wait until other prompts are read. */
const mayPass = ({ isUrgent, prefillMs }: GenerationTerms, gapMs: number): boolean => isUrgent && isShortPrefill(prefillMs, gapMs);

const turnSpacingMs = ({ tokens }: GenerationTerms, limitTokens: number): number => turnSpacingFactor * turnHoldMs * tokens / limitTokens;

/** What decides on a generation at one runner beside its slots: tokens in memory, and the time for which it reads prompts. */
export class GenerationLoad {
    private prefills: readonly ScheduledPrefill[] = [];
    /** When the next generation that exceeds this node's share may be sent; undefined before the first one was asked for. */
    private nextTurnAt: number | undefined;

    private constructor() {}

    /** Creates the load of a runner that no generation was sent to. */
    static create(): GenerationLoad {
        return new GenerationLoad();
    }

    /** Whether nothing is known that a new one would not know. */
    get isIdle(): boolean {
        const now = performance.now();
        return now >= (this.nextTurnAt ?? now) && removePastPrefills(this.prefills, maxGapMs, now).length === 0;
    }

    /** Tokens in use, and what the streams in progress and the new request allow. */
    useOf(terms: GenerationTerms, share: number, known: KnownGenerations): GenerationUse {
        let placedTokens = 0;
        let placed = 0;
        let gapMs = Math.min(maxGapMs, terms.gapMs ?? defaultGapMs);
        for (const generation of known.placed) {
            placedTokens += generation.tokens;
            placed++;
            gapMs = Math.min(gapMs, generation.gapMs ?? defaultGapMs);
        }
        const meanTokens = placed === 0 ? terms.tokens : Math.max(terms.tokens, placedTokens / placed);
        return {
            tokens: placedTokens + known.unplacedTokens + known.unreported * meanTokens,
            limitTokens: maxMemoryShare * terms.kvTokens * share,
            gapMs,
        };
    }

    /** Whether a generation does not wait until other prompts are read. */
    mayPass(terms: GenerationTerms, known: KnownGenerations): boolean {
        return mayPass(terms, this.useOf(terms, 1, known).gapMs);
    }

    /** What is lacking for a generation now; undefined if it may be sent. */
    lackOf(terms: GenerationTerms, share: number, known: KnownGenerations, node = ""): PlaceLack | undefined {
        const now = performance.now();
        const { tokens, limitTokens, gapMs } = this.useOf(terms, share, known);
        const needsTurn = share < 1 && terms.tokens > limitTokens;
        if (needsTurn) {
            // The first turns of nodes that give themselves their share are spread: they may have begun at the same time.
            this.nextTurnAt ??= now + hashToUnit(node) * turnSpacingMs(terms, limitTokens);
        }
        if ((needsTurn && now < (this.nextTurnAt ?? now)) || (tokens > 0 && tokens + terms.tokens > limitTokens)) {
            return PlaceLack.Memory;
        }
        // A node that gives itself a part of a runner allows the reading of prompts the same part of the time.
        return mayPass(terms, gapMs) || prefillWaitMs(this.prefills, terms.prefillMs / share, gapMs, now) === 0 ? undefined : PlaceLack.Prefill;
    }

    /** Time until the prompt may be read, with others ahead of it that are as long. */
    private prefillWaitMs(terms: GenerationTerms, share: number, known: KnownGenerations, ahead: number): number {
        const { gapMs, limitTokens } = this.useOf(terms, share, known);
        const now = performance.now();
        return Math.max(
            0,
            terms.tokens > limitTokens ? (this.nextTurnAt ?? now) - now : 0,
            mayPass(terms, gapMs) ? 0 : this.waitedMs(terms.prefillMs / share, gapMs, ahead, now),
        );
    }

    /** Estimated time until the runner has memory for a generation and may read its prompt. Memory becomes free as evenly as the places that hold it are given back. */
    waitMs(terms: GenerationTerms, share: number, known: KnownGenerations, ahead: number, holdMs: number): number {
        const { tokens, limitTokens } = this.useOf(terms, share, known);
        const lackingTokens = Math.max(0, tokens + (ahead + 1) * terms.tokens - limitTokens);
        const memoryWaitMs = tokens === 0 ? 0 : lackingTokens / Math.max(1, tokens) * holdMs;
        return Math.max(this.prefillWaitMs(terms, share, known, ahead), memoryWaitMs);
    }

    /** Share of the memory that is in use; 0 if no generation has a place. */
    memoryShareOf(placed: readonly GenerationTerms[], unplacedTokens: number): number {
        const tokens = placed.reduce((sum, generation) => sum + generation.tokens, unplacedTokens);
        return placed.length === 0 ? 0 : tokens / placed[0]!.kvTokens;
    }

    private waitedMs(prefillMs: number, gapMs: number, ahead: number, now: number): number {
        return prefillWaitMs(this.prefills, prefillMs, gapMs, now) + ahead * prefillMs / maxPrefillShare;
    }

    /** Counts a generation that is sent. */
    add(terms: GenerationTerms, share: number): void {
        const now = performance.now();
        const limitTokens = maxMemoryShare * terms.kvTokens * share;
        const isPassing = mayPass(terms, terms.gapMs ?? defaultGapMs);
        const prefill = { startedAt: now, prefillMs: terms.prefillMs / share, isPassing };
        this.prefills = [...removePastPrefills(this.prefills, maxGapMs, now), prefill];
        if (share < 1 && terms.tokens > limitTokens) {
            this.nextTurnAt = now + turnSpacingMs(terms, limitTokens);
        }
    }
}
