import type { Random } from "../../src/utils/random";
import { pick } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import type { MemoryPlatformStore } from "../fakes/memoryPlatformStore";
import { LinkFault } from "./faultProxy";
import type { InvariantChecker } from "./invariantChecker";
import type { SoakFleet } from "./soakFleet";
import type { SoakNode } from "./soakNode";

/** The processes and stand-ins of a run that faults act on. */
export interface SoakContext {
    readonly nodes: readonly SoakNode[];
    readonly fleet: SoakFleet;
    readonly store: MemoryPlatformStore;
    readonly checker: InvariantChecker;
    readonly random: Random;
    readonly seeds: readonly string[];
}

type InjectFault = (context: SoakContext) => Promise<void>;

/** Once this time has passed since its last fault, a node must again keep the guarantees that have time bounds. */
const recoveryMs = 3_000;
/** A draining upstream serves for this long after its row states that it is draining. */
const drainMs = 2_500;
/** The row of a crashed upstream is removed after this time. */
const rowExpiryMs = 1_200;
/** The platform kills a stopping process this long after SIGTERM. */
export const graceMs = 6_000;

const drawDurationMs = (random: Random): number => 400 + random() * 3_500;

/** Suspends the guarantees of a node that have time bounds while it is stopped and started as planned. */
const suspendTimeChecks = (node: SoakNode, ms: number): void => {
    node.checksSuspendedUntil = Math.max(node.checksSuspendedUntil, performance.now() + ms + recoveryMs);
};

/** Suspends the guarantees of a node that have time bounds, and that it loses no request, until it has recovered from a fault. */
export const suspendChecks = (node: SoakNode, ms: number): void => {
    suspendTimeChecks(node, ms);
    node.impairedUntil = Math.max(node.impairedUntil, performance.now() + ms + recoveryMs);
};

/** Picks a running node, if at least two others keep running. */
const pickNode = ({ nodes, random }: SoakContext): SoakNode | undefined => {
    const running = nodes.filter(({ isRunning, isStopRequested }) => isRunning && !isStopRequested);
    return running.length > 2 ? pick(running, random) : undefined;
};

const restart = async (context: SoakContext, node: SoakNode, ms: number): Promise<void> => {
    await sleep(ms);
    if (!node.isRunning) {
        node.start(context.seeds);
        suspendChecks(node, 1_000);
    }
};

const injectStoreLinkFault = (fault: LinkFault): InjectFault => async ({ nodes, random }) => {
    const node = pick(nodes, random)!;
    const ms = drawDurationMs(random);
    suspendChecks(node, ms);
    node.storeProxy.setFault(fault, random);
    node.cutAt = performance.now() + ms;
    await sleep(ms);
    node.storeProxy.setFault(LinkFault.None, random);
};

const injectUpstreamLinkFault = (fault: LinkFault): InjectFault => async ({ fleet, nodes, random }) => {
    const upstream = pick(fleet.all(), random)!;
    const ms = drawDurationMs(random);
    nodes.forEach(node => suspendChecks(node, ms));
    upstream.proxy.setFault(fault, random);
    await sleep(ms);
    upstream.proxy.setFault(LinkFault.None, random);
};

const injectUpstreamFaults = (setShare: (fleet: SoakFleet, share: number, random: Random) => void): InjectFault => async ({ fleet, random }) => {
    setShare(fleet, 0.3 * random(), random);
    await sleep(drawDurationMs(random));
    setShare(fleet, 0, random);
};

/**
 * The faults of a run by name; each resolves when its fault is over. The order decides which fault a seed draws, the names are only printed.
 */
export const soakFaults: Readonly<Record<string, InjectFault>> = {
    "node killed": async context => {
        const node = pickNode(context);
        if (node) {
            suspendChecks(node, drawDurationMs(context.random));
            node.signal("SIGKILL");
            await restart(context, node, 300 + drawDurationMs(context.random) / 2);
        }
    },
    "node paused": async context => {
        const node = pick(context.nodes, context.random)!;
        const ms = drawDurationMs(context.random);
        suspendChecks(node, ms);
        node.signal("SIGSTOP");
        await sleep(ms);
        context.checker.onResume(node.holder);
        node.signal("SIGCONT");
    },
    "node stopped": async context => {
        const node = pickNode(context);
        if (node) {
            suspendTimeChecks(node, graceMs);
            node.signal("SIGTERM");
            await sleep(graceMs);
            node.signal("SIGKILL");
            await restart(context, node, 300);
        }
    },
    "settings reload signalled": ({ nodes, random }) => {
        pick(nodes, random)!.signal("SIGHUP");
        return Promise.resolve();
    },
    "store link drops all bytes": injectStoreLinkFault(LinkFault.Silent),
    "store link drops answers": injectStoreLinkFault(LinkFault.OneWay),
    "store link reset": injectStoreLinkFault(LinkFault.Reset),
    "store link slow": injectStoreLinkFault(LinkFault.Delay),
    "upstream link drops all bytes": injectUpstreamLinkFault(LinkFault.Silent),
    "upstream link drops answers": injectUpstreamLinkFault(LinkFault.OneWay),
    "upstream link reset": injectUpstreamLinkFault(LinkFault.Reset),
    "upstream link slow": injectUpstreamLinkFault(LinkFault.Delay),
    "store down": async ({ store, nodes, random }) => {
        const ms = drawDurationMs(random);
        nodes.forEach(node => suspendChecks(node, ms));
        store.isDown = true;
        await sleep(ms);
        store.isDown = false;
    },
    "store loses answers": async ({ store, random }) => {
        store.lossShare = 0.4 * random();
        await sleep(drawDurationMs(random));
        store.lossShare = 0;
    },
    "store drops its feed history": ({ store }) => {
        store.isCompacted = true;
        return Promise.resolve();
    },
    "configuration changed": ({ fleet }) => {
        fleet.putConfig();
        return Promise.resolve();
    },
    "upstream crashed": async ({ fleet, nodes }) => {
        const upstream = fleet.pickReady();
        if (upstream) {
            nodes.forEach(node => suspendChecks(node, rowExpiryMs));
            upstream.crash();
            await sleep(rowExpiryMs);
            fleet.remove(upstream);
            await fleet.add(upstream.service);
        }
    },
    "upstream replaced": async ({ fleet }) => {
        const upstream = fleet.pickReady();
        if (upstream) {
            await fleet.add(upstream.service);
            upstream.leavingSince = performance.now();
            fleet.writeRow(upstream);
            await sleep(drainMs);
            fleet.remove(upstream);
        }
    },
    "answers lost": injectUpstreamFaults((fleet, share) => fleet.all().forEach(({ faults }) => faults.lostAnswers = share)),
    "requests refused": injectUpstreamFaults((fleet, share) => fleet.all().forEach(({ faults }) => faults.refusals = share)),
    "orders delayed": injectUpstreamFaults((fleet, share) => fleet.all().forEach(({ faults }) => faults.lateOrders = 2 * share)),
};
