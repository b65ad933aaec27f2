import type { Random } from "../../src/utils/random";
import { createRandom } from "../../src/utils/random";

const goldenRatio32 = 0x9e3779b1;
/** The first numbers of generators with small seeds are all close to one, and those of neighbouring seeds are alike. */
const discardedNumbers = 16;

/** Creates a seeded generator whose first numbers are unlike those of neighbouring seeds. */
export const createMixedRandom = (seed: number): Random => {
    const random = createRandom(Math.imul(seed + 1, goldenRatio32));
    for (let count = 0; count < discardedNumbers; count++) {
        random();
    }
    return random;
};
