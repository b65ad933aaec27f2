import { IgnoredHeader } from "../types/upstreamWord";

/** Value of the figure for the usual time. */
const usualPace = 100;
/** Factors beyond these are not credible, and would attract or repel all requests of every node. */
const minPaceFactor = 0.05;
const maxPaceFactor = 100;
/** A sign, an exponent or another notation is not allowed. */
const pacePattern = /^\d+(?:\.\d+)?$/;

/** Decodes the fourth figure of a load into a factor on the usual time; undefined if it is missing, or ignored with a reason. */
export const decodePace = (text: string | undefined, onIgnored: (reason: IgnoredHeader) => void): number | undefined => {
    if (text === undefined) {
        return undefined;
    }
    const trimmed = text.trim();
    const factor = pacePattern.test(trimmed) ? Number(trimmed) / usualPace : 0;
    if (factor === 0) {
        onIgnored(IgnoredHeader.PaceValue);
        return undefined;
    }
    if (factor < minPaceFactor || factor > maxPaceFactor) {
        onIgnored(IgnoredHeader.PaceRange);
        return undefined;
    }
    return factor;
};
