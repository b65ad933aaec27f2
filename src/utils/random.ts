import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A generator of uniformly distributed numbers in [0, 1). */
export type Random = () => number;

const uint32Range = 2 ** 32;

/** Creates a seeded generator; the same seed yields the same sequence. */
export const createRandom = (seed: number): Random => {
    const generator = xoroshiro128plus(seed);
    return () => (generator.next() >>> 0) / uint32Range;
};

/** One element chosen at random; undefined for an empty list. */
export const pick = <T>(items: readonly T[], random: Random): T | undefined => items[Math.floor(random() * items.length)];
