import type { Random } from "../utils/random";
import type { UpstreamCandidate } from "./chooseUpstream";

/** Exponent of the ratio of costs in the weight of a draw. At 4, an upstream that takes twice as long as the best one is drawn a sixteenth as often. */
const costExponent = 4;

const weightOf = ({ server }: UpstreamCandidate, cost: number, bestCost: number): number =>
    Math.max(1, server.slots) * (cost <= bestCost ? 1 : (bestCost / cost) ** costExponent);

/** Index of a candidate of a zone, or of any zone, that is drawn by weight; undefined if the zone has none. */
const draw = (
    candidates: readonly UpstreamCandidate[],
    costs: Float64Array,
    bestCost: number,
    zone: string | undefined,
    random: Random,
): number | undefined => {
    let total = 0;
    let last: number | undefined;
    for (let index = 0; index < candidates.length; index++) {
        if (zone === undefined || candidates[index]!.server.availabilityZone === zone) {
            total += weightOf(candidates[index]!, costs[index]!, bestCost);
            last = index;
        }
    }
    let left = last === undefined ? 0 : random() * total;
    for (let index = 0; index < candidates.length; index++) {
        if (zone === undefined || candidates[index]!.server.availabilityZone === zone) {
            left -= weightOf(candidates[index]!, costs[index]!, bestCost);
            if (left < 0) {
                return index;
            }
        }
    }
    return last;
};

/**
 * Index of the better of two candidates that are drawn by weight: slots, and closeness of the cost to the lowest one. Nodes decide by figures of the same age; if each chose
 * the best one, all would choose the same upstream until its figures change. The first one is drawn in the own zone, so that a request leaves it only for an upstream that is
 * better than one there.
 */
export const drawBetterOfTwo = (candidates: readonly UpstreamCandidate[], costs: Float64Array, bestCost: number, zone: string, random: Random): number => {
    const any = draw(candidates, costs, bestCost, undefined, random)!;
    const own = draw(candidates, costs, bestCost, zone, random) ?? draw(candidates, costs, bestCost, undefined, random)!;
    return costs[any]! < costs[own]! ? any : own;
};
