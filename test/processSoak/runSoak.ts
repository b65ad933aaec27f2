import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createRandom, pick } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import { portOf } from "../fakes/jsonServer";
import { MemoryPlatformStore } from "../fakes/memoryPlatformStore";
import { servePlatformStore } from "../fakes/platformStoreServer";
import { EndlessAnswers } from "./endlessAnswers";
import { InvariantChecker } from "./invariantChecker";
import { LossChecker } from "./lossChecker";
import { runPlannedWork } from "./plannedWork";
import { SoakCaller } from "./soakCaller";
import { soakFaults } from "./soakFaults";
import { SoakFleet } from "./soakFleet";
import { SoakNode } from "./soakNode";
import { restoreStore } from "./storeRestores";

const nodeCount = 3;
const callerCount = 8;
const readinessProbeMs = 250;
/** Time for the start of the nodes, and for the recovery after the last fault. */
const startUpMs = 4_000;
const recoveryMs = 8_000;
/** Minimum share of the requests that must be served after recovery, over `measureMs`. */
const minServedShare = 0.9;
const measureMs = 3_000;
const crashingParts = ["bad1", "bad2"];
const crashingPromptSalt = 0x5eed;
const crashingRequestSalt = 0xb0d7;
const limitSalt = 0x11317;
const wordSalt = 0x3a71;
const brittleSalt = 0xb217;
const endlessSalt = 0xe4d1;
const maxPromptDelayMs = 3_000;

/** Result of a run. */
export interface SoakResult {
    readonly violations: readonly string[];
    readonly injectedFaults: readonly string[];
    readonly requestCount: number;
    readonly servedCount: number;
    /** Runs that went on with a stream at another runner. */
    readonly resumedCount: number;
    /** Whole requests that were sent during planned work. */
    readonly plannedCount: number;
    /** Calls of an upstream that answers without end, and how many of them were answered. */
    readonly endlessCalls: number;
    readonly endlessAnswered: number;
    /** Folder of the nodes' logs, which is kept if a check failed. */
    readonly logFolder: string;
}

/** A request, and two parts of prompts one after the other, crash runners until the end of the run. A generator of its own leaves the other faults of a seed unchanged. */
const sendCrashingPrompts = (
    seed: number,
    { prompts, models }: SoakFleet,
    nodes: readonly SoakNode[],
    checker: InvariantChecker,
    signal: AbortSignal,
): readonly Promise<void>[] => {
    const random = createRandom(seed ^ crashingPromptSalt);
    const requests = crashingParts.map(async (part, index) => {
        await sleep((index + random()) * maxPromptDelayMs, signal);
        await prompts.send(part, nodes, models, checker, random, signal);
    });
    return [...requests, prompts.sendSame(nodes, checker, createRandom(seed ^ crashingRequestSalt), signal)];
};

/** Runs nodes as processes while faults that the seed draws are injected for some seconds, and checks the guarantees to callers and runners. */
export const runSoak = async (seed: number, seconds: number): Promise<SoakResult> => {
    const random = createRandom(seed);
    const logFolder = mkdtempSync(join(tmpdir(), `soak-${seed}-`));
    const store = MemoryPlatformStore.create(random);
    store.lossShare = 0;
    const storeServer = await servePlatformStore(store);
    const checker = InvariantChecker.create();
    const losses = LossChecker.create();
    const nodes = await Promise.all([...Array(nodeCount).keys()].map(index => SoakNode.create(`n${index}`, portOf(storeServer), logFolder)));
    const fleet = await SoakFleet.create(store, checker, random);
    const abort = new AbortController();
    const seeds = nodes.map(({ peerAddress }) => peerAddress);
    nodes.forEach(node => node.start(seeds));
    const probeTimer = setInterval(() => nodes.forEach(node => void node.probe()), readinessProbeMs);
    const callers = [...Array(callerCount).keys()].map(index => SoakCaller.create(`c${index}`, nodes, fleet, random));
    const callerRuns = callers.map(caller => caller.run(abort.signal));
    await sleep(startUpMs);

    const limitRun = fleet.limits.run(() => fleet.all(), createRandom(seed ^ limitSalt));
    const wordRun = checker.words.run(fleet, createRandom(seed ^ wordSalt));
    const brittleRun = fleet.brittle.run(fleet, createRandom(seed ^ brittleSalt));
    const endless = EndlessAnswers.create(store);
    const endlessRun = endless.run(nodes, createRandom(seed ^ endlessSalt));
    const crashingRuns = sendCrashingPrompts(seed, fleet, nodes, checker, abort.signal);
    const restores = restoreStore(seed, store, fleet, nodes, abort.signal);
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
    await Promise.all([...activeFaults, restores]);
    fleet.limits.end();
    fleet.brittle.end();
    endless.end();
    checker.words.end();
    nodes.filter(({ isRunning }) => !isRunning).forEach(node => node.start(seeds));
    await sleep(recoveryMs);

    const { requestCount: requestsBefore, servedCount: servedBefore } = checker;
    await sleep(measureMs);
    if (checker.servedCount - servedBefore < minServedShare * (checker.requestCount - requestsBefore) || checker.requestCount === requestsBefore) {
        checker.violations.push(`${checker.servedCount - servedBefore} of ${checker.requestCount - requestsBefore} requests served after the faults`);
    }
    await runPlannedWork(seed, { nodes, fleet, checker, losses, seeds });
    abort.abort();
    await Promise.all([...callerRuns, ...crashingRuns, limitRun, wordRun, brittleRun, endlessRun]);
    clearInterval(probeTimer);
    await Promise.all(nodes.map(node => node.terminate()));
    fleet.terminate();
    storeServer.closeAllConnections();
    storeServer.close();
    const violations = [
        ...checker.checkAtEnd(),
        ...losses.violations(checker),
        ...fleet.overcommitViolations(),
        ...fleet.prompts.violations(),
        ...fleet.limits.violations(),
        ...fleet.brittle.violations(),
        ...nodes.flatMap(({ unexpectedExits }) => unexpectedExits),
    ];
    if (violations.length === 0) {
        rmSync(logFolder, { recursive: true });
    }
    return {
        violations,
        injectedFaults,
        requestCount: checker.requestCount,
        servedCount: checker.servedCount,
        resumedCount: checker.streamRuns.resumedCount,
        plannedCount: losses.sentCount,
        endlessCalls: endless.calls,
        endlessAnswered: endless.answered,
        logFolder,
    };
};
