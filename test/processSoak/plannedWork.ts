import { spawn } from "node:child_process";
import { setMaxListeners } from "node:events";
import { availableParallelism } from "node:os";
import type { Random } from "../../src/utils/random";
import { createRandom, pick } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import type { InvariantChecker } from "./invariantChecker";
import type { LossChecker } from "./lossChecker";
import { graceMs } from "./soakFaults";
import type { SoakFleet } from "./soakFleet";
import type { SoakNode } from "./soakNode";
import { WholeCaller } from "./wholeCaller";

const plannedSalt = 0x9a1d;
/** Of so many seeds in a row, one has planned work with all cores, and one with all nodes on one core beside busy processes. */
const seedsPerTurn = 5;
const allCoresTurn = 2;
const oneCoreTurn = 4;
/** Neighbouring seeds of a generator give nearly the same first numbers. */
const spread = 0x9e3779b1;
const busyProcessCount = 6;
const callerCount = 120;
/** One caller in so many keeps its connection. */
const callersPerKept = 4;
const workMs = 12_000;
const minPauseMs = 150;
const maxPauseMs = 900;
const maxRestartDelayMs = 500;

/** What planned work acts on. */
export interface PlannedWorkContext {
    readonly nodes: readonly SoakNode[];
    readonly fleet: SoakFleet;
    readonly checker: InvariantChecker;
    readonly losses: LossChecker;
    readonly seeds: readonly string[];
}

type Work = (context: PlannedWorkContext, random: Random) => Promise<void>;

const serving = (nodes: readonly SoakNode[]): readonly SoakNode[] => nodes.filter(({ isReady, isStopRequested }) => isReady && !isStopRequested);

const stopAndRestart: Work = async ({ nodes, seeds }, random) => {
    const others = serving(nodes);
    const node = others.length > 1 ? pick(others, random)! : undefined;
    if (!node) {
        return;
    }
    node.signal("SIGTERM");
    const killAt = performance.now() + graceMs;
    while (node.isRunning && performance.now() < killAt) {
        await sleep(20);
    }
    node.signal("SIGKILL");
    await sleep(maxRestartDelayMs * random());
    while (node.isRunning) {
        await sleep(20);
    }
    node.start(seeds);
};

const reload: Work = ({ nodes }, random) => {
    pick(serving(nodes), random)?.signal("SIGHUP");
    return Promise.resolve();
};

const changeConfig: Work = ({ fleet }) => {
    fleet.putConfig();
    return Promise.resolve();
};

/** Stops take the longest, so they are drawn the most often. */
const works: readonly Work[] = [stopAndRestart, stopAndRestart, reload, changeConfig];

const playWork = async (context: PlannedWorkContext, random: Random): Promise<void> => {
    const active: Promise<void>[] = [];
    const endsAt = performance.now() + workMs;
    while (performance.now() < endsAt) {
        active.push(pick(works, random)!(context, random));
        await sleep(minPauseMs + (maxPauseMs - minPauseMs) * random());
    }
    await Promise.all(active);
};

/** After the faults of some seeds: stops, reloads and configuration changes that overlap, under callers that send whole requests. A generator of its own leaves the faults of a seed unchanged. */
export const runPlannedWork = async (seed: number, context: PlannedWorkContext): Promise<void> => {
    const turn = seed % seedsPerTurn;
    if (turn !== allCoresTurn && turn !== oneCoreTurn) {
        return;
    }
    const random = createRandom(Math.imul(seed, spread) ^ plannedSalt);
    const { nodes, checker, losses } = context;
    const core = turn === oneCoreTurn ? String(seed % availableParallelism()) : undefined;
    const busy = core === undefined
        ? []
        : [...Array(busyProcessCount)].map(() => spawn("taskset", ["-c", core, process.execPath, "-e", "for (;;);"], { stdio: "ignore" }));
    // Nodes may be late on a share of a core, and while they start.
    nodes.forEach(node => node.checksSuspendedUntil = Number.POSITIVE_INFINITY);
    nodes.forEach(node => node.bind(core));
    const abort = new AbortController();
    setMaxListeners(0, abort.signal);
    const callers = [...Array(callerCount).keys()].map(index =>
        WholeCaller.create(`w${index}`, nodes, checker, losses, createRandom(Math.imul(seed * callerCount + index, spread)), index % callersPerKept === 0)
    );
    const runs = callers.map(caller => caller.run(abort.signal));
    try {
        await playWork(context, random);
    }
    finally {
        abort.abort();
        await Promise.all(runs);
        busy.forEach(child => child.kill("SIGKILL"));
    }
};
