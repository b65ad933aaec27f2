import { createRandom } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import type { MemoryPlatformStore } from "../fakes/memoryPlatformStore";
import { suspendChecks } from "./soakFaults";
import type { SoakFleet } from "./soakFleet";
import type { SoakNode } from "./soakNode";

const restoreSalt = 0x0e2a;
const restoreCount = 2;
/** Longest pause before the copy is made, age of the copy, and outage at the restore. */
const maxPauseMs = 2_000;
const maxCopyAgeMs = 3_000;
const maxOutageMs = 1_500;
/** Time within which operators and upstreams have written again what the copy lacks. */
const rewriteMs = 2_000;

/** Restores the store from older copies. A generator of its own leaves the other faults of a seed unchanged. */
export const restoreStore = async (
    seed: number,
    store: MemoryPlatformStore,
    fleet: SoakFleet,
    nodes: readonly SoakNode[],
    signal: AbortSignal,
): Promise<void> => {
    const random = createRandom(seed ^ restoreSalt);
    for (let index = 0; index < restoreCount && !signal.aborted; index++) {
        await sleep(maxPauseMs * random(), signal);
        const copy = store.copy();
        await sleep(maxCopyAgeMs * random(), signal);
        const outageMs = maxOutageMs * random();
        nodes.forEach(node => suspendChecks(node, outageMs + rewriteMs));
        store.isDown = true;
        await sleep(outageMs, signal);
        store.restore(copy);
        store.isDown = false;
        fleet.writeAgain(rewriteMs, random);
    }
};
