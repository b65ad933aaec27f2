import type { TRPCClient } from "@trpc/client";
import { createTRPCClient, httpLink } from "@trpc/client";
import { Agent } from "undici";
import type { ControllerLease } from "../core/controllerLease";
import { DemandReporter } from "../core/demandReporter";
import { toFailure } from "../core/failures";
import type { Gateway, Placement } from "../forward/gateway";
import type { ConfigDecoder } from "../forward/storeObservers";
import { decodeAndApplyConfig } from "../forward/storeObservers";
import { EventId } from "../types/eventId";
import { artifactKey } from "../types/modelRequest";
import type { NodeReport, PeerAnswer, PlacementAnswer, PlacementRequest } from "../types/placement";
import { createBoundedFetch } from "../utils/boundedFetch";
import { emit } from "../utils/events";
import { getOrCreate } from "../utils/maps";
import { pick } from "../utils/random";
import { repeat } from "../utils/time";
import type { Controller } from "./controller";
import type { PeerServer, PeerServerRouter } from "./peerServer";

/** Interval between two exchanges with the controller: a minimum, and the time per node that bounds the controller's load in large fleets. */
const exchangeIntervalMs = 400;
const exchangeIntervalPerNodeMs = 12;
/** Jitter of that interval, as a share of it, so that nodes do not send at the same time. */
const exchangeJitter = 0.3;
/** Peers normally answer within a few milliseconds. */
const peerTimeoutMs = 700;
const connectTimeoutMs = 300;

/** Answer while no controller can be reached; another node takes over within seconds. */
const noControllerAnswer: PlacementAnswer = { readyInMs: 0, isComing: false, isUncertain: true };

/** Components of this node that the client uses. */
interface LocalComponents {
    readonly peerServer: PeerServer;
    readonly controller: Controller;
    readonly decodeConfig: ConfigDecoder;
    /** Called when a newer configuration from a peer was applied. */
    readonly onConfig: () => void;
}

/** This node's client of the controller, and of other peers while the controller is unknown or unreachable. */
export class ControllerClient implements Placement {
    private readonly clients = new Map<string, TRPCClient<PeerServerRouter>>();
    private readonly fetch: typeof globalThis.fetch;
    private readonly pendingPlacements = new Map<string, Promise<PlacementAnswer>>();
    private peers: readonly string[];
    private isControllerLost = false;
    private readonly demandReporter = DemandReporter.create();
    /** Epoch of the controller that answered last. */
    private lastEpoch: number | undefined;
    private adaptersRevision = 0;
    /** Processor capacity of the largest node that the controller knows. */
    largestKnownCores: number | undefined;
    /** When the controller last answered, on the monotonic clock. */
    lastAnswerAt = Number.NEGATIVE_INFINITY;

    private constructor(private readonly gateway: Gateway, private readonly lease: ControllerLease, private readonly local: LocalComponents) {
        this.peers = gateway.settings.seeds;
        const dispatcher = new Agent({ connect: { timeout: connectTimeoutMs }, keepAliveTimeout: 10_000, pipelining: 1 });
        this.fetch = createBoundedFetch(dispatcher, { maxBytes: gateway.settings.limits.maxAnswerBytes, timeoutMs: peerTimeoutMs });
    }

    /** Creates a client that has not been used yet. */
    static create(gateway: Gateway, lease: ControllerLease, local: LocalComponents): ControllerClient {
        const client = new ControllerClient(gateway, lease, local);
        local.peerServer.onNewController = () => client.isControllerLost = false;
        return client;
    }

    /** Exchanges reports until the signal aborts. */
    start(signal: AbortSignal): void {
        const intervalMs = (): number =>
            Math.max(exchangeIntervalMs, exchangeIntervalPerNodeMs * this.gateway.knownNodes) * (1 + exchangeJitter * (this.gateway.random() - 0.5));
        void repeat(() => this.exchange(), intervalMs, signal, err => this.onExchangeFailed(err));
    }

    get isController(): boolean {
        return this.local.controller.isActive;
    }

    /** Adds a request's estimated work to the demand for a model or adapter. */
    countWork(artifact: string, workMs: number): void {
        this.demandReporter.count(artifact, workMs);
    }

    /** Requests a model or adapter from the controller; concurrent requests for the same one share the answer. */
    place(req: PlacementRequest): Promise<PlacementAnswer> {
        const key = `${req.service} ${artifactKey(req.model, req.adapter)} ${req.avoid.join(" ")}`;
        return getOrCreate(this.pendingPlacements, key, () => this.requestPlacement(req).finally(() => this.pendingPlacements.delete(key)));
    }

    private async requestPlacement(req: PlacementRequest): Promise<PlacementAnswer> {
        if (this.local.controller.isActive) {
            return this.local.controller.place(req);
        }
        const address = this.controllerAddress;
        if (address === undefined || address === this.gateway.settings.peerAddress) {
            return noControllerAnswer;
        }
        try {
            return await this.clientOf(address).place.mutate({ ...req, avoid: [...req.avoid], unreachable: [...req.unreachable] });
        }
        catch (err) {
            this.onExchangeFailed(err);
            return noControllerAnswer;
        }
    }

    private async exchange(): Promise<void> {
        const requestedAt = performance.now();
        const report = this.toReport();
        if (this.local.controller.isActive) {
            this.announce();
            this.applyAnswer(this.local.peerServer.exchange(report), this.gateway.settings.peerAddress, report.work, requestedAt);
            return;
        }
        const { peerAddress } = this.gateway.settings;
        const controller = this.controllerAddress;
        const others = this.peers.filter(address => address !== peerAddress);
        const isController = controller !== undefined && controller !== peerAddress && !this.isControllerLost;
        const address = isController ? controller : pick(controller === undefined ? others : [...others, controller], this.gateway.random);
        if (address !== undefined) {
            this.applyAnswer(
                await this.clientOf(address).exchange.mutate({ ...report, work: [...report.work], loads: toMutable(report.loads) }),
                address,
                report.work,
                requestedAt,
            );
        }
    }

    /** Address of the controller, from its announcement or from the lease row, whichever is newer. */
    private get controllerAddress(): string | undefined {
        const { latestAnnouncement } = this.local.peerServer;
        return latestAnnouncement && latestAnnouncement.epoch > (this.lease.seenVersion ?? 0) ? latestAnnouncement.peerAddress : this.lease.holderAddress;
    }

    /** Announces once per epoch to all known nodes that this one has become controller, so that they need not read the lease row. */
    private announce(): void {
        const epoch = this.lease.heldEpoch;
        const { peerAddress } = this.gateway.settings;
        if (epoch === undefined || epoch === this.local.peerServer.latestAnnouncement?.epoch) {
            return;
        }
        const announcement = { peerAddress, epoch };
        this.local.peerServer.recordAnnouncement(announcement);
        for (const address of this.peers.filter(other => other !== peerAddress)) {
            this.clientOf(address).announce.mutate(announcement)
                .catch((err: unknown) => emit(EventId.PeerExchangeFailed, { controller: peerAddress, peer: address, detail: toFailure(err).detail }));
        }
    }

    private toReport(): NodeReport {
        const { gateway } = this;
        return {
            node: gateway.settings.nodeId,
            peerAddress: gateway.settings.peerAddress,
            cores: gateway.settings.cores,
            configVersion: gateway.config?.version ?? 0,
            directoryVersion: gateway.directory.version,
            adaptersEpoch: this.lastEpoch,
            adaptersRevision: this.adaptersRevision,
            work: this.demandReporter.take(),
            loads: gateway.ownLoads(),
        };
    }

    private applyAnswer(answer: PeerAnswer, address: string, reportedWork: NodeReport["work"], requestedAt: number): void {
        const { gateway } = this;
        if (answer.yielding) {
            this.lease.onYield(answer.yielding);
        }
        if (answer.epoch === undefined && address === this.controllerAddress) {
            // The node has released or lost the lease: the next holder is found in the lease row.
            this.lastAnswerAt = Number.NEGATIVE_INFINITY;
        }
        if (answer.announced) {
            this.local.peerServer.recordAnnouncement(answer.announced);
        }
        if (answer.epoch !== undefined) {
            this.demandReporter.onDelivered(answer.epoch, reportedWork);
            this.lastEpoch = answer.epoch;
            this.lastAnswerAt = performance.now();
            this.isControllerLost = false;
            this.peers = answer.peers.length > 1 ? answer.peers : this.peers;
            gateway.knownNodes = Math.max(1, answer.peers.length);
            this.largestKnownCores = answer.largestCores;
        }
        if (answer.config !== undefined && decodeAndApplyConfig(gateway, Buffer.from(answer.config, "base64"), this.local.decodeConfig, "peer")) {
            this.local.onConfig();
        }
        if (answer.confirmedAgoMs !== undefined) {
            gateway.freshness.onControllerConfirmed(answer.confirmedAgoMs, requestedAt);
        }
        answer.changes.forEach(change => gateway.directory.apply(change));
        if (gateway.directory.version > 0) {
            gateway.directory.version = Math.max(gateway.directory.version, answer.directoryVersion);
        }
        if (answer.adapters) {
            this.adaptersRevision = answer.adapters.revision;
            Object.entries(answer.adapters.byRunner).forEach(([runner, adapters]) => gateway.residency.replaceAdapters(runner, adapters));
        }
        Object.entries(answer.loads ?? {}).forEach(([runner, [prefillMs, inFlight]]) => gateway.trafficOf(runner).onPeerLoad(prefillMs, inFlight));
    }

    private onExchangeFailed(err: unknown): void {
        if (!this.isControllerLost) {
            emit(EventId.PeerExchangeFailed, { controller: this.controllerAddress, detail: toFailure(err).detail });
        }
        this.isControllerLost = true;
    }

    private clientOf(address: string): TRPCClient<PeerServerRouter> {
        return getOrCreate(
            this.clients,
            address,
            () => createTRPCClient<PeerServerRouter>({ links: [httpLink({ url: `http://${address}`, fetch: this.fetch })] }),
        );
    }
}

const toMutable = (loads: NodeReport["loads"]): Record<string, [number, number]> =>
    Object.fromEntries(Object.entries(loads).map(([runner, [prefillMs, inFlight]]) => [runner, [prefillMs, inFlight]]));
