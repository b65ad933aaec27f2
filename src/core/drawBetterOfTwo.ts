import type { Random } from "../utils/random";
import type { UpstreamCandidate } from "./chooseUpstream";

/** Exponent of the ratio of costs in the weight of a draw. At 4, an upstream that takes twice as long as the best one is drawn a sixteenth as often. */
const costExponent = 4;

const weightOf = ({ server }: UpstreamCandidate, cost: number, bestCost: number): number =>
    Math.max(1, server.slots) * (cost <= bestCost ? 1 : (bestCost / cost) ** costExponent);

/** Index of a candidate that is drawn by weight; `total` is the sum of all weights. */
const draw = (candidates: readonly UpstreamCandidate[], costs: Float64Array, bestCost: number, total: number, random: Random): number => {
    let left = random() * total;
    for (let index = 0; index < candidates.length; index++) {
        left -= weightOf(candidates[index]!, costs[index]!, bestCost);
        if (left < 0) {
            return index;
        }
    }
    return candidates.length - 1;
};

/**
 * Index of the better of two candidates that are drawn by weight: slots, and closeness of the cost to the lowest one. Nodes decide by figures of the same age; if each chose
 * the best one, all would choose the same upstream until its figures change.
 */
export const drawBetterOfTwo = (candidates: readonly UpstreamCandidate[], costs: Float64Array, bestCost: number, random: Random): number => {
    let total = 0;
    for (let index = 0; index < candidates.length; index++) {
        total += weightOf(candidates[index]!, costs[index]!, bestCost);
    }
    const first = draw(candidates, costs, bestCost, total, random);
    const second = draw(candidates, costs, bestCost, total, random);
    return costs[second]! < costs[first]! ? second : first;
};
