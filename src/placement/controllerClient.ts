import type { ControllerLease } from "../core/controllerLease";
import { DemandReporter } from "../core/demandReporter";
import { toFailure } from "../core/failures";
import { brittleRequests } from "../forward/brittleRequests";
import type { Gateway } from "../forward/gateway";
import type { Placement } from "../forward/placement";
import { EventId } from "../types/eventId";
import type { PeerNode } from "../types/peerNode";
import type { NodeReport, PeerAnswer, PlacementAnswer, PlacementRequest } from "../types/placement";
import type { Permit, PermitRequest, ReturnedPlace } from "../types/sendPermit";
import type { UsageAnswer } from "../types/usageAnswer";
import type { UsageCharge } from "../types/usageCharge";
import type { UsageNodes } from "../types/usageNodes";
import type { ClockReading } from "../utils/clockReading";
import { readClocks } from "../utils/clockReading";
import { emit } from "../utils/events";
import { ownerOf } from "../utils/hash";
import { coalesce, repeat } from "../utils/time";
import { applyConfigPart } from "./applyConfigPart";
import { ControllerAnnouncer } from "./controllerAnnouncer";
import type { ControllerLink } from "./controllerLink";
import { applyDirectory } from "./directoryExchange";
import type { LocalComponents } from "./localComponents";
import { createNodeReport } from "./nodeReport";
import type { PacerNodes } from "./pacerNodes";
import { pacerNodesOf } from "./pacerNodes";
import { decodePeerAnswer } from "./peerAnswerDecoder";
import { PeerClients, toMutableReport } from "./peerClients";
import { PeerDirectory } from "./peerDirectory";
import { PermitClient } from "./permitClient";
import { PlacementClient } from "./placementClient";
import { UsageService } from "./usageService";

/** Interval between two reports; relays bound the number of nodes that report to one. */
const exchangeIntervalMs = 400;
/** Delay of a report with news for the other nodes, so that one report carries several. */
const newsDelayMs = 30;
/** Jitter of that interval, as a share of it, so that nodes do not send at the same time. */
const exchangeJitter = 0.3;

/** This node's client of the controller, and of other peers while the controller is unknown or unreachable. */
export class ControllerClient implements Placement {
    private readonly clients: PeerClients;
    private readonly permits: PermitClient;
    private readonly usage: UsageService;
    private readonly announcer: ControllerAnnouncer;
    private readonly placements: PlacementClient;
    private readonly peers: PeerDirectory;
    private isControllerLost = false;
    private readonly demandReporter = DemandReporter.create();
    /** Process that answered last as the controller or a relay, and its versions of what changes rarely. */
    private source: string | undefined;
    private adaptersRevision = 0;
    private peersVersion = 0;

    private constructor(
        private readonly gateway: Gateway,
        private readonly lease: ControllerLease,
        private readonly link: ControllerLink,
        private readonly local: LocalComponents,
    ) {
        this.peers = PeerDirectory.create(() => this.self, () => gateway.settings.seeds, gateway.random);
        gateway.peers.setPeers(this.peers.nodes);
        this.clients = PeerClients.create(gateway.settings.limits.maxAnswerBytes, gateway.ownAnswers);
        this.placements = PlacementClient.create(
            local.controller,
            this.clients,
            () => this.controllerAddress === gateway.settings.peerAddress ? undefined : this.controllerAddress,
            err => this.onExchangeFailed(err),
        );
        this.permits = PermitClient.create(this.clients, local.peerServer.pacer, () => this.pacerNodes);
        this.usage = UsageService.create(gateway, this.clients, this.usageNodes);
        local.peerServer.usage = this.usage;
        gateway.onConfig = () => this.usage.onConfig();
        this.announcer = ControllerAnnouncer.create(gateway, local.peerServer, this.clients);
    }

    /** Creates a client that has not been used yet. */
    static create(gateway: Gateway, lease: ControllerLease, link: ControllerLink, local: LocalComponents): ControllerClient {
        const client = new ControllerClient(gateway, lease, link, local);
        local.peerServer.onNewController = () => client.isControllerLost = false;
        gateway.directory.observe(({ id, server }) => {
            if (!server) {
                link.adapters.remove(id);
            }
        });
        return client;
    }

    /** Exchanges reports until the signal aborts. */
    start(signal: AbortSignal): void {
        const intervalMs = (): number => exchangeIntervalMs * (1 + exchangeJitter * (this.gateway.random() - 0.5));
        void repeat(() => this.exchange(), intervalMs, signal, err => this.onExchangeFailed(err));
        const { availability, crashLog, runnerLimits } = this.gateway;
        const exchangeSoon = coalesce(() => this.exchange(), newsDelayMs, signal, err => this.onExchangeFailed(err));
        crashLog.onOutgoing = exchangeSoon;
        runnerLimits.onOutgoing = exchangeSoon;
        availability.onOutgoing = exchangeSoon;
        availability.brittle.onOutgoing = exchangeSoon;
        this.permits.start(() => brittleRequests(this.gateway), signal);
        crashLog.isTrialNode = part => this.link.epoch !== undefined && ownerOf(part, this.pacerNodes.addresses) === this.pacerNodes.self;
    }

    get isController(): boolean {
        return this.local.controller.isActive;
    }

    /** Adds a request's estimated work to the demand for a model or adapter. */
    countWork(artifact: string, workMs: number): void {
        this.demandReporter.count(artifact, workMs);
    }

    readonly acquirePermit = (req: PermitRequest): Promise<Permit> => this.permits.acquire(req);
    /** Levels of the buckets of the customers whose home this node is. */
    readonly usageLevels = (): ReadonlyMap<string, number> => this.usage.levels;
    readonly chargeUsage = (charge: UsageCharge): Promise<UsageAnswer> => this.usage.charge(charge);
    readonly returnUsage = (charge: UsageCharge, answer: UsageAnswer): void => this.usage.onNotRun(charge, answer);
    readonly returnPlace = (place: ReturnedPlace): void => this.permits.returnPlace(place);

    /** Requests a model or adapter from the controller. */
    place(req: PlacementRequest): Promise<PlacementAnswer> {
        return this.placements.place(req);
    }

    /** Processor capacity of the largest known node. */
    get largestKnownCores(): number | undefined {
        return this.peers.largestCores;
    }

    /** The nodes that share per-runner duties. */
    private get pacerNodes(): PacerNodes {
        return pacerNodesOf(this.gateway.settings, this.link, this.peers);
    }

    /** The nodes among which the home nodes of customers are chosen. */
    private get usageNodes(): UsageNodes {
        return { self: this.self, nodes: [this.self, ...this.peers.nodes], isFleetKnown: this.link.epoch !== undefined };
    }

    private get self(): PeerNode {
        const { peerAddress, availabilityZone, cores } = this.gateway.settings;
        return { address: peerAddress, zone: availabilityZone, cores };
    }

    private async exchange(): Promise<void> {
        const askedAt = readClocks();
        const { source, adaptersRevision, peersVersion } = this;
        const known = { source, adaptersRevision, peersVersion };
        const report = createNodeReport(this.gateway, this.link, this.local, known, this.demandReporter.take());
        if (this.local.controller.isActive) {
            this.announcer.announce(this.lease.heldEpoch, this.peers.addresses);
            this.applyAnswer(this.local.peerServer.exchange(report), this.gateway.settings.peerAddress, report.work, askedAt);
            this.usage.onController(askedAt, 0);
            return;
        }
        const address = this.chooseTarget();
        if (address === undefined) {
            return;
        }
        const { facts } = this.local.peerServer;
        const prepared = facts.prepare(address);
        try {
            const answer = decodePeerAnswer(await this.clients.get(address).exchange.mutate(toMutableReport({ ...report, facts: prepared.report })));
            if (answer.epoch === undefined) {
                this.peers.onFailed(address);
            }
            if (answer.facts) {
                facts.onAnswer(prepared, answer.facts);
            }
            this.applyAnswer(answer, address, report.work, askedAt);
            this.gateway.freshness.onContact(askedAt);
            this.usage.onPeer(address, askedAt);
            if (answer.epoch !== undefined) {
                this.usage.onController(askedAt, answer.controllerAgoMs ?? 0);
            }
        }
        catch (err) {
            this.peers.onFailed(address);
            if (address === this.controllerAddress) {
                throw err;
            }
            // A relay that does not answer says nothing of the controller: the next report goes to another one.
            emit(EventId.PeerExchangeFailed, { controller: this.controllerAddress, peer: address, detail: toFailure(err).detail });
        }
    }

    /** The peer to report to: a relay, the controller, or any peer while neither is known to answer. */
    private chooseTarget(): string | undefined {
        const { peerAddress } = this.gateway.settings;
        const { controllerAddress } = this;
        const isControllerKnown = controllerAddress !== undefined && controllerAddress !== peerAddress && !this.isControllerLost;
        return this.peers.relayFor(controllerAddress) ?? (isControllerKnown ? controllerAddress : this.peers.pickAny());
    }

    /** Address of the controller, from its announcement or from the lease row, whichever is newer. */
    private get controllerAddress(): string | undefined {
        const { latestAnnouncement } = this.local.peerServer;
        return latestAnnouncement && latestAnnouncement.epoch > (this.lease.seenVersion ?? 0) ? latestAnnouncement.peerAddress : this.lease.holderAddress;
    }

    private applyAnswer(answer: PeerAnswer, address: string, reportedWork: NodeReport["work"], askedAt: ClockReading): void {
        const { gateway } = this;
        if (answer.yielding) {
            this.lease.onYield(answer.yielding);
        }
        if (answer.epoch === undefined && address === this.controllerAddress) {
            // The node has released or lost the lease: the next holder is found in the lease row.
            this.link.reset();
        }
        if (answer.announced) {
            this.local.peerServer.recordAnnouncement(answer.announced);
        }
        if (answer.epoch !== undefined) {
            this.applyControllerPart(answer, answer.epoch, reportedWork, askedAt.monotonicMs);
        }
        applyConfigPart(gateway, this.local, answer, address, askedAt);
        applyDirectory(gateway.directory, answer);
    }

    private applyControllerPart(answer: PeerAnswer, epoch: number, reportedWork: NodeReport["work"], requestedAt: number): void {
        const { gateway, link } = this;
        this.demandReporter.onDelivered(epoch, reportedWork);
        link.apply(answer, requestedAt, answer.controllerAgoMs === 0);
        this.source = answer.source;
        this.isControllerLost = false;
        gateway.knownNodes = Math.max(1, answer.nodeCount);
        if (answer.peers) {
            this.peers.setPeers(answer.peers);
            this.gateway.peers.setPeers(this.peers.nodes);
        }
        if (answer.peers || !this.usage.isFleetKnown) {
            this.usage.setNodes(this.usageNodes);
        }
        this.peersVersion = answer.peersVersion;
        if (answer.adapters) {
            this.adaptersRevision = answer.adapters.revision;
            Object.entries(answer.adapters.byRunner).forEach(([runner, adapters]) => gateway.residency.replaceAdapters(runner, adapters));
        }
        gateway.applyPeerLoads(answer.loads ?? {});
    }

    private onExchangeFailed(err: unknown): void {
        if (!this.isControllerLost) {
            emit(EventId.PeerExchangeFailed, { controller: this.controllerAddress, detail: toFailure(err).detail });
        }
        this.isControllerLost = true;
    }
}
