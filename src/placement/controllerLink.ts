import { AdapterRevisions } from "../core/adapterRevisions";
import type { PeerNode } from "../types/peerNode";
import type { PeerAnswer, RequestedWork, RunnerLoads } from "../types/placement";

/** What the controller said longer ago than this is not passed on: the controller may be gone. */
const maxAgeMs = 1_500;

/** What this node last heard of the controller, to use and, as a relay, to pass on. */
export class ControllerLink {
    epoch: number | undefined;
    /** When the controller answered, on the monotonic clock. */
    answeredAt = Number.NEGATIVE_INFINITY;
    /** Whether the controller itself answered last; only then does this node act as a relay, so that no two nodes pass reports on to each other. */
    isDirect = false;
    peers: readonly PeerNode[] = [];
    nodeCount = 1;
    readonly adapters = AdapterRevisions.create();
    /** Loads of all nodes but this one and those that it reports for. */
    loads: RunnerLoads = {};
    private memberWork: RequestedWork[] = [];

    private constructor() {}

    /** Creates the link of a node that has not heard of a controller. */
    static create(): ControllerLink {
        return new ControllerLink();
    }

    /** Time since the controller answered. */
    get ageMs(): number {
        return performance.now() - this.answeredAt;
    }

    /** Whether this node may pass on what the controller said. */
    get isRelaying(): boolean {
        return this.isDirect && this.epoch !== undefined && this.ageMs < maxAgeMs;
    }

    /** Records an answer of the controller or of a relay to a report that was sent at `requestedAt`. */
    apply(answer: PeerAnswer, requestedAt: number, isDirect: boolean): void {
        this.epoch = answer.epoch;
        this.answeredAt = requestedAt - (answer.controllerAgoMs ?? 0);
        this.isDirect = isDirect;
        this.nodeCount = answer.nodeCount;
        this.loads = answer.loads ?? {};
        this.peers = answer.peers ?? this.peers;
        Object.entries(answer.adapters?.byRunner ?? {}).forEach(([runner, adapters]) => this.adapters.update(runner, adapters));
    }

    /** Records that the controller is gone. */
    reset(): void {
        this.answeredAt = Number.NEGATIVE_INFINITY;
    }

    /** Keeps work that a member reported until this node's next report. */
    addMemberWork(work: readonly RequestedWork[]): void {
        this.memberWork.push(...work);
    }

    /** Returns the members' work and forgets it. */
    takeMemberWork(): readonly RequestedWork[] {
        const work = this.memberWork;
        this.memberWork = [];
        return work;
    }
}
