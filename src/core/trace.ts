import type { Decisions } from "./decisions";
import { decide, DecisionKind } from "./decisions";

/** One line of a decision trace. */
export interface TraceLine<K extends DecisionKind = DecisionKind> {
    readonly decision: K;
    readonly input: Decisions[K]["input"];
    /** The expected outcome; a line without one is run, but not compared. */
    readonly outcome?: Decisions[K]["outcome"];
}

/** A line of a trace whose outcome differs from the expected one. */
export interface TraceDifference {
    readonly line: number;
    readonly decision: string;
    readonly stated: unknown;
    readonly found: unknown;
}

const normalize = (value: unknown): string => JSON.stringify(value) ?? "undefined";

/** Formats a decision as a line of a trace. */
export const formatTraceLine = (line: TraceLine): string => JSON.stringify(line);

/** Replays the decisions of a trace up to the first difference; returns it and the number of decisions run. */
export const replayTrace = (lines: readonly string[]): { readonly run: number; readonly difference?: TraceDifference; } => {
    let run = 0;
    for (const [index, text] of lines.entries()) {
        if (text.trim() === "" || text.startsWith("#")) {
            continue;
        }
        const { decision, input, outcome } = JSON.parse(text) as TraceLine;
        if (!Object.values(DecisionKind).includes(decision)) {
            return { run, difference: { line: index + 1, decision: String(decision), stated: "a known decision", found: decision } };
        }
        let found: unknown;
        try {
            found = decide(decision, input);
        }
        catch (err) {
            found = { error: String(err) };
        }
        run++;
        if (outcome !== undefined && normalize(found) !== normalize(outcome)) {
            return { run, difference: { line: index + 1, decision, stated: outcome, found } };
        }
    }
    return { run };
};
