import { CrashLog } from "../../src/core/crashLog";
import { RunnerLimits } from "../../src/core/runnerLimits";
import { UpstreamAvailability } from "../../src/core/upstreamAvailability";
import { UpstreamDirectory } from "../../src/core/upstreamDirectory";
import { FactExchange } from "../../src/placement/factExchange";
import type { PeerNode } from "../../src/types/peerNode";
import type { Random } from "../../src/utils/random";
import { createRandom } from "../../src/utils/random";
import { reportTargetOf } from "./reportTarget";

const reportIntervalMs = 400;
const reportJitter = 0.3;
const newsDelayMs = 30;
/** Time in which a report reaches its peer, and its answer the node. */
const linkDelayMs = 5;
const zones = ["a", "b", "c"];

/** A node without a network: its facts, and when it reports them. */
interface FactNode {
    readonly peer: PeerNode;
    crashLog: CrashLog;
    availability: UpstreamAvailability;
    exchange: FactExchange;
    isReachable: boolean;
    isNewsScheduled: boolean;
}

/** Nodes that pass facts to each other as `ControllerClient` does, in simulated time: through relays to a controller, or to any peer without one. */
export class FactNetwork {
    readonly nodes: readonly FactNode[];
    /** Whether the controller, the first node, answers. */
    hasController = true;

    private constructor(count: number, private readonly random: Random) {
        this.nodes = [...Array(count).keys()].map(index => ({
            peer: { address: `n${index}`, zone: zones[index % zones.length]!, cores: 1 },
            ...createFacts(),
            isReachable: true,
            isNewsScheduled: false,
        }));
    }

    /** Starts nodes that report from now on. */
    static create(count: number): FactNetwork {
        const network = new FactNetwork(count, createRandom(count));
        network.nodes.forEach(node => {
            network.listen(node);
            setTimeout(() => network.reportAgain(node), reportIntervalMs * network.random());
        });
        return network;
    }

    /** Restarts a node, which then knows nothing. */
    restart(node: FactNode): void {
        Object.assign(node, createFacts());
        this.listen(node);
    }

    /** Nodes that do not refuse a prompt with a part. */
    unaware(part: string): number {
        return this.nodes.filter(({ crashLog }) => crashLog.findBlocking([part]) === undefined).length;
    }

    private listen(node: FactNode): void {
        node.crashLog.onOutgoing = node.availability.brittle.onOutgoing = () => {
            if (!node.isNewsScheduled) {
                node.isNewsScheduled = true;
                setTimeout(() => {
                    node.isNewsScheduled = false;
                    this.report(node);
                }, newsDelayMs);
            }
        };
    }

    private reportAgain(node: FactNode): void {
        this.report(node);
        setTimeout(() => this.reportAgain(node), reportIntervalMs * (1 + reportJitter * (this.random() - 0.5)));
    }

    private report(node: FactNode): void {
        const target = reportTargetOf(node, this.nodes, this.hasController, this.random);
        if (!target || target === node || !node.isReachable || !target.isReachable) {
            return;
        }
        const prepared = node.exchange.prepare(target.peer.address);
        const { exchange } = node;
        setTimeout(() => {
            const answer = target.exchange.serve(structuredClone(prepared.report));
            setTimeout(() => exchange.onAnswer(prepared, structuredClone(answer)), linkDelayMs);
        }, linkDelayMs);
    }
}

const createFacts = (): Pick<FactNode, "crashLog" | "availability" | "exchange"> => {
    const counter = { value: 0 };
    const crashLog = CrashLog.create(counter);
    const availability = UpstreamAvailability.create(UpstreamDirectory.create(), () => 0, counter);
    return { crashLog, availability, exchange: FactExchange.create(counter, crashLog, RunnerLimits.create(counter), availability) };
};
