import type { Random } from "../../src/utils/random";
import { pick } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import type { MemoryPlatformStore } from "../fakes/memoryPlatformStore";
import { LinkFault } from "./faultProxy";
import type { InvariantChecker } from "./invariantChecker";
import type { SoakFleet } from "./soakFleet";
import type { SoakNode } from "./soakNode";

/** What faults act on. */
export interface SoakContext {
    readonly nodes: readonly SoakNode[];
    readonly fleet: SoakFleet;
    readonly store: MemoryPlatformStore;
    readonly witness: InvariantChecker;
    readonly random: Random;
    readonly seeds: readonly string[];
}

type Fault = (world: SoakContext) => Promise<void>;

/** After this time without a fault a node must keep its promises with time bounds again. */
const contactMs = 3_000;
/** A leaving upstream goes on for this long after its row says so. */
const drainMs = 2_500;
/** A crashed upstream's row is dropped after this time. */
const lapseMs = 1_200;
/** A platform kills a stopping process after this time. */
const graceMs = 6_000;

const lasts = (random: Random): number => 400 + random() * 3_500;

const excuse = (node: SoakNode, ms: number): void => {
    node.checksSuspendedUntil = Math.max(node.checksSuspendedUntil, performance.now() + ms + contactMs);
};

/** A running node, so that two at least stay. */
const pickNode = ({ nodes, random }: SoakContext): SoakNode | undefined => {
    const running = nodes.filter(({ isRunning, isStopRequested: isStopped }) => isRunning && !isStopped);
    return running.length > 2 ? pick(running, random) : undefined;
};

const restart = async (world: SoakContext, node: SoakNode, ms: number): Promise<void> => {
    await sleep(ms);
    if (!node.isRunning) {
        node.start(world.seeds);
        excuse(node, 1_000);
    }
};

const harmStoreLink = (fault: LinkFault): Fault => async ({ nodes, random }) => {
    const node = pick(nodes, random)!;
    const ms = lasts(random);
    excuse(node, ms);
    node.storeProxy.setFault(fault, random);
    await sleep(ms);
    node.storeProxy.setFault(LinkFault.None, random);
};

const harmUpstreamLink = (fault: LinkFault): Fault => async ({ fleet, nodes, random }) => {
    const runner = pick(fleet.all(), random)!;
    const ms = lasts(random);
    nodes.forEach(node => excuse(node, ms));
    runner.proxy.setFault(fault, random);
    await sleep(ms);
    runner.proxy.setFault(LinkFault.None, random);
};

const spoil = (change: (fleet: SoakFleet, share: number, random: Random) => void): Fault => async ({ fleet, random }) => {
    change(fleet, 0.3 * random(), random);
    await sleep(lasts(random));
    change(fleet, 0, random);
};

/** The faults of a run, by name; each comes back when it is over. */
export const soakFaults: Readonly<Record<string, Fault>> = {
    "node killed": async world => {
        const node = pickNode(world);
        if (node) {
            excuse(node, lasts(world.random));
            node.signal("SIGKILL");
            await restart(world, node, 300 + lasts(world.random) / 2);
        }
    },
    "node paused": async world => {
        const node = pick(world.nodes, world.random)!;
        const ms = lasts(world.random);
        excuse(node, ms);
        node.signal("SIGSTOP");
        await sleep(ms);
        world.witness.onResume(node.holder);
        node.signal("SIGCONT");
    },
    "node stopped": async world => {
        const node = pickNode(world);
        if (node) {
            excuse(node, graceMs);
            node.signal("SIGTERM");
            await sleep(graceMs);
            node.signal("SIGKILL");
            await restart(world, node, 300);
        }
    },
    "settings signalled": ({ nodes, random }) => {
        pick(nodes, random)!.signal("SIGHUP");
        return Promise.resolve();
    },
    "store link silent": harmStoreLink(LinkFault.Silent),
    "store link one way": harmStoreLink(LinkFault.OneWay),
    "store link reset": harmStoreLink(LinkFault.Reset),
    "store link slow": harmStoreLink(LinkFault.Delay),
    "upstream link silent": harmUpstreamLink(LinkFault.Silent),
    "upstream link one way": harmUpstreamLink(LinkFault.OneWay),
    "upstream link reset": harmUpstreamLink(LinkFault.Reset),
    "upstream link slow": harmUpstreamLink(LinkFault.Delay),
    "store down": async ({ store, nodes, random }) => {
        const ms = lasts(random);
        nodes.forEach(node => excuse(node, ms));
        store.isDown = true;
        await sleep(ms);
        store.isDown = false;
    },
    "store loses answers": async ({ store, random }) => {
        store.lossShare = 0.4 * random();
        await sleep(lasts(random));
        store.lossShare = 0;
    },
    "store forgets its history": ({ store }) => {
        store.isCompacted = true;
        return Promise.resolve();
    },
    "configuration changed": ({ fleet }) => {
        fleet.putConfig();
        return Promise.resolve();
    },
    "upstream crashed": async ({ fleet, nodes }) => {
        const runner = fleet.pickReady();
        if (runner) {
            nodes.forEach(node => excuse(node, lapseMs));
            runner.crash();
            await sleep(lapseMs);
            fleet.remove(runner);
            await fleet.add(runner.service);
        }
    },
    "upstream replaced": async ({ fleet }) => {
        const runner = fleet.pickReady();
        if (runner) {
            await fleet.add(runner.service);
            runner.leavingSince = performance.now();
            fleet.writeRow(runner);
            await sleep(drainMs);
            fleet.remove(runner);
        }
    },
    "answers lost": spoil((fleet, share) => fleet.all().forEach(({ faults }) => faults.lostAnswers = share)),
    "requests refused": spoil((fleet, share) => fleet.all().forEach(({ faults }) => faults.refusals = share)),
    "orders late": spoil((fleet, share) => fleet.all().forEach(({ faults }) => faults.lateOrders = 2 * share)),
};
