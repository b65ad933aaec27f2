import type { Decisions } from "./decisions";
import { decide, DecisionKind } from "./decisions";

/** One line of a trace. */
export interface TraceLine<K extends DecisionKind = DecisionKind> {
    readonly decision: K;
    readonly input: Decisions[K]["input"];
    /** The stated outcome; lines without one are only run. */
    readonly outcome?: Decisions[K]["outcome"];
}

/** The first line of a trace whose outcome differs from the stated one. */
export interface TraceDifference {
    readonly line: number;
    readonly decision: string;
    readonly stated: unknown;
    readonly found: unknown;
}

const normalize = (value: unknown): string => JSON.stringify(value) ?? "undefined";

/** Writes a decision as a line of a trace. */
export const formatTraceLine = (line: TraceLine): string => JSON.stringify(line);

/** Runs the decisions of a trace; returns the number run and the first difference. */
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
