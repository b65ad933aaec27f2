import type { PeerNode } from "../types/peerNode";
import type { NodeReport, RunnerLoads } from "../types/placement";

/** Time after which a node that has not sent a report is no longer counted. */
const nodeTtlMs = 5_000;
/** Loads of a node that has not reported for this long are no longer counted. */
const loadsTtlMs = 2_500;

interface ReportedNode {
    readonly report: NodeReport;
    readonly receivedAt: number;
}

/** Adds loads to sums by runner. */
export const addLoads = (sums: Record<string, [number, number]>, loads: RunnerLoads): void => {
    for (const [runner, [prefillMs, inFlight]] of Object.entries(loads)) {
        const sum = sums[runner] ??= [0, 0];
        sum[0] += prefillMs;
        sum[1] += inFlight;
    }
};

/** The nodes that report to this one, with their last reports. */
export class ReportedNodes {
    private readonly nodes = new Map<string, ReportedNode>();

    private constructor() {}

    static create(): ReportedNodes {
        return new ReportedNodes();
    }

    /** Records a report and removes nodes that have not reported for long. */
    add(report: NodeReport): void {
        this.nodes.set(report.node, { report, receivedAt: performance.now() });
    }

    private removeExpired(): void {
        for (const [id, { receivedAt }] of this.nodes) {
            if (performance.now() - receivedAt > nodeTtlMs) {
                this.nodes.delete(id);
            }
        }
    }

    /** All known nodes: those that report, and those that they report for. */
    get members(): readonly PeerNode[] {
        this.removeExpired();
        const byAddress = new Map<string, PeerNode>();
        for (const { report } of this.nodes.values()) {
            [{ address: report.peerAddress, zone: report.zone, cores: report.cores }, ...report.members].forEach(node => byAddress.set(node.address, node));
        }
        return [...byAddress.values()];
    }

    /** Whether a node that reports has a host. */
    hasHost(host: string): boolean {
        return this.members.some(({ address }) => address.slice(0, address.lastIndexOf(":")) === host);
    }

    /** Whether a node that reaches upstreams has reported lately. */
    get someReachUpstreams(): boolean {
        const now = performance.now();
        return [...this.nodes.values()].some(({ report, receivedAt }) => report.reachesUpstreams === true && now - receivedAt < loadsTtlMs);
    }

    /** Sum of the loads that nodes have reported, but for one of them. */
    loadsExcluding(node?: string): Record<string, [number, number]> {
        const sums: Record<string, [number, number]> = {};
        const now = performance.now();
        for (const [id, { report, receivedAt }] of this.nodes) {
            if (id !== node && now - receivedAt < loadsTtlMs) {
                addLoads(sums, report.loads);
            }
        }
        return sums;
    }
}
