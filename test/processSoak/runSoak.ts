import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createRandom, pick } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import { portOf } from "../fakes/jsonServer";
import { MemoryPlatformStore } from "../fakes/memoryPlatformStore";
import { servePlatformStore } from "../fakes/platformStoreServer";
import { InvariantChecker } from "./invariantChecker";
import { SoakCaller } from "./soakCaller";
import { soakFaults } from "./soakFaults";
import { SoakFleet } from "./soakFleet";
import { SoakNode } from "./soakNode";

const nodeCount = 3;
const callerCount = 8;
const probeMs = 250;
/** Time for the start, and for the recovery after the last fault. */
const settleMs = 4_000;
const recoverMs = 8_000;
/** Part of the requests that must be served once all faults are over. */
const servedShare = 0.9;
const measureMs = 3_000;

/** What a run found. */
export interface SoakResult {
    readonly violations: readonly string[];
    readonly injectedFaults: readonly string[];
    readonly requestCount: number;
    readonly servedCount: number;
    /** Where the nodes' logs are, kept if a promise was broken. */
    readonly logFolder: string;
}

/** Runs nodes as processes for some seconds, with faults from outside that the seed draws, and checks the promises. */
export const runSoak = async (seed: number, seconds: number): Promise<SoakResult> => {
    const random = createRandom(seed);
    const folder = mkdtempSync(join(tmpdir(), `soak-${seed}-`));
    const store = MemoryPlatformStore.create(random);
    store.lossShare = 0;
    const storeServer = await servePlatformStore(store);
    const witness = InvariantChecker.create();
    const nodes = await Promise.all([...Array(nodeCount).keys()].map(at => SoakNode.create(`n${at}`, portOf(storeServer), folder)));
    const fleet = await SoakFleet.create(store, witness, random);
    const abort = new AbortController();
    const seeds = nodes.map(({ peerAddress: control }) => control);
    nodes.forEach(node => node.start(seeds));
    const probes = setInterval(() => nodes.forEach(node => void node.probe()), probeMs);
    const callers = [...Array(callerCount).keys()].map(at => SoakCaller.create(`c${at}`, nodes, fleet.models, witness, random));
    const running = callers.map(caller => caller.run(abort.signal));
    await sleep(settleMs);

    const faults: string[] = [];
    const until = performance.now() + seconds * 1_000;
    const world = { nodes, fleet, store, witness, random, seeds };
    const open: Promise<void>[] = [];
    while (performance.now() < until) {
        const [name, fault] = pick(Object.entries(soakFaults), random)!;
        faults.push(name);
        open.push(fault(world));
        await sleep(200 + 700 * random());
    }
    await Promise.all(open);
    nodes.filter(({ isRunning }) => !isRunning).forEach(node => node.start(seeds));
    await sleep(recoverMs);

    const { requestCount: asked, servedCount: served } = witness;
    await sleep(measureMs);
    if (witness.servedCount - served < servedShare * (witness.requestCount - asked) || witness.requestCount === asked) {
        witness.violations.push(`${witness.servedCount - served} of ${witness.requestCount - asked} served after the faults`);
    }
    abort.abort();
    await Promise.all(running);
    clearInterval(probes);
    await Promise.all(nodes.map(node => node.terminate()));
    fleet.terminate();
    storeServer.closeAllConnections();
    storeServer.close();
    const broken = [...witness.checkAtEnd(), ...fleet.overcommitViolations(), ...nodes.flatMap(({ unexpectedExits: ends }) => ends)];
    if (broken.length === 0) {
        rmSync(folder, { recursive: true });
    }
    return { violations: broken, injectedFaults: faults, requestCount: witness.requestCount, servedCount: witness.servedCount, logFolder: folder };
};
