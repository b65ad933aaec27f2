import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createRandom, pick } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import { portOf } from "../fakes/http";
import { MemoryRowStore } from "../fakes/memoryRowStore";
import { servePlatformStore } from "../fakes/platformStore";
import { SoakCaller } from "./soakCaller";
import { soakFaults } from "./soakFaults";
import { SoakFleet } from "./soakFleet";
import { SoakNode } from "./soakNode";
import { Witness } from "./witness";

const nodeCount = 3;
const callerCount = 8;
const readinessProbeMs = 250;
/** Time for the start of the nodes, and for the recovery after the last fault. */
const startUpMs = 4_000;
const recoveryMs = 8_000;
/** Least share of the requests that must be served after recovery, over `measureMs`. */
const minServedShare = 0.9;
const measureMs = 3_000;

/** Result of a run. */
export interface SoakResult {
    readonly broken: readonly string[];
    readonly faults: readonly string[];
    readonly asked: number;
    readonly served: number;
    /** Folder of the nodes' logs, which is kept if a check failed. */
    readonly folder: string;
}

/** Runs nodes as processes while faults that the seed draws are injected for some seconds, and checks the guarantees to callers and runners. */
export const runSoak = async (seed: number, seconds: number): Promise<SoakResult> => {
    const random = createRandom(seed);
    const logFolder = mkdtempSync(join(tmpdir(), `soak-${seed}-`));
    const store = MemoryRowStore.create(random);
    store.lossShare = 0;
    const storeServer = await servePlatformStore(store);
    const checker = Witness.create();
    const nodes = await Promise.all([...Array(nodeCount).keys()].map(at => SoakNode.create(`n${at}`, portOf(storeServer), logFolder)));
    const fleet = await SoakFleet.create(store, checker, random);
    const abort = new AbortController();
    const seeds = nodes.map(({ control }) => control);
    nodes.forEach(node => node.start(seeds));
    const probeTimer = setInterval(() => nodes.forEach(node => void node.probe()), readinessProbeMs);
    const callers = [...Array(callerCount).keys()].map(at => SoakCaller.create(`c${at}`, nodes, fleet.models, checker, random));
    const callerRuns = callers.map(caller => caller.run(abort.signal));
    await sleep(startUpMs);

    const injectedFaults: string[] = [];
    const faultsEndAt = performance.now() + seconds * 1_000;
    const context = { nodes, fleet, store, checker, random, seeds };
    const activeFaults: Promise<void>[] = [];
    while (performance.now() < faultsEndAt) {
        const [name, fault] = pick(Object.entries(soakFaults), random)!;
        injectedFaults.push(name);
        activeFaults.push(fault(context));
        await sleep(200 + 700 * random());
    }
    await Promise.all(activeFaults);
    nodes.filter(({ isRunning }) => !isRunning).forEach(node => node.start(seeds));
    await sleep(recoveryMs);

    const { asked, served } = checker;
    await sleep(measureMs);
    if (checker.served - served < minServedShare * (checker.asked - asked) || checker.asked === asked) {
        checker.broken.push(`${checker.served - served} of ${checker.asked - asked} requests served after the faults`);
    }
    abort.abort();
    await Promise.all(callerRuns);
    clearInterval(probeTimer);
    await Promise.all(nodes.map(node => node.end()));
    fleet.end();
    storeServer.closeAllConnections();
    storeServer.close();
    const violations = [...checker.conclude(), ...fleet.overcommits(), ...nodes.flatMap(({ ends }) => ends)];
    if (violations.length === 0) {
        rmSync(logFolder, { recursive: true });
    }
    return { broken: violations, faults: injectedFaults, asked: checker.asked, served: checker.served, folder: logFolder };
};
