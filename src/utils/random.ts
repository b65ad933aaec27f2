import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of uniform numbers in [0, 1). */
export type Random = () => number;

const span = 2 ** 32;

/** A seeded source; the same seed gives the same numbers. */
export const createRandom = (seed: number): Random => {
    const generator = xoroshiro128plus(seed);
    return () => (generator.next() >>> 0) / span;
};

/** One element at random, undefined for an empty list. */
export const pick = <T>(items: readonly T[], random: Random): T | undefined => items[Math.floor(random() * items.length)];
