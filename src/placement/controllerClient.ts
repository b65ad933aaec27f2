import type { TRPCClient } from "@trpc/client";
import { createTRPCClient, httpLink } from "@trpc/client";
import { Agent, fetch } from "undici";
import type { ControllerLease } from "../core/controllerLease";
import { DemandReporter } from "../core/demandReporter";
import { toFailure } from "../core/failures";
import type { Gateway, Placement } from "../forward/gateway";
import type { ConfigDecoder } from "../forward/storeObservers";
import { decodeAndApplyConfig } from "../forward/storeObservers";
import { EventId } from "../types/eventId";
import { artifactKey } from "../types/modelRequest";
import type { NodeReport, PeerAnswer, PlacementAnswer, PlacementRequest } from "../types/placement";
import { emit } from "../utils/events";
import { getOrCreate } from "../utils/maps";
import { pick } from "../utils/random";
import { repeat } from "../utils/time";
import type { Controller } from "./controller";
import type { PeerServer, PeerServerRouter } from "./peerServer";

/** Pause between two exchanges with the controller; with many nodes it grows, so that the controller keeps up. */
const exchangeMs = 400;
const exchangeMsPerNode = 12;
/** Spread of that pause, so that nodes do not call all at once. */
const exchangeJitter = 0.3;
/** Peers answer within a few milliseconds. */
const peerTimeoutMs = 700;
const connectTimeoutMs = 300;

/** Another node becomes controller within seconds. */
const noController: PlacementAnswer = { readyInMs: 0, isComing: false, isUncertain: true };

/** Parts of this node that the line uses. */
interface LocalParts {
    readonly peerServer: PeerServer;
    readonly controller: Controller;
    readonly decodeConfig: ConfigDecoder;
    /** Called when a newer configuration came from a peer. */
    readonly onConfig: () => void;
}

/** This node's line to the controller, and to other peers while there is none. */
export class ControllerClient implements Placement {
    private readonly clients = new Map<string, TRPCClient<PeerServerRouter>>();
    private readonly dispatcher = new Agent({ connect: { timeout: connectTimeoutMs }, keepAliveTimeout: 10_000, pipelining: 1 });
    private readonly placing = new Map<string, Promise<PlacementAnswer>>();
    private peers: readonly string[];
    private isLost = false;
    private readonly demand = DemandReporter.create();
    /** Epoch of the controller that was heard last. */
    private heardEpoch: number | undefined;
    private adaptersRevision = 0;
    /** When the controller last answered, on the monotonic clock. */
    lastAnswerAt = Number.NEGATIVE_INFINITY;

    private constructor(private readonly gateway: Gateway, private readonly lease: ControllerLease, private readonly local: LocalParts) {
        this.peers = gateway.settings.seeds;
    }

    /** Makes a line that has not been used yet. */
    static create(gateway: Gateway, lease: ControllerLease, local: LocalParts): ControllerClient {
        const link = new ControllerClient(gateway, lease, local);
        local.peerServer.onNewController = () => link.isLost = false;
        return link;
    }

    /** Exchanges until the signal aborts. */
    start(signal: AbortSignal): void {
        const pause = (): number => Math.max(exchangeMs, exchangeMsPerNode * this.gateway.knownNodes) * (1 + exchangeJitter * (this.gateway.random() - 0.5));
        void repeat(() => this.exchange(), pause, signal, err => this.onLost(err));
    }

    get isController(): boolean {
        return this.local.controller.isActive;
    }

    /** Counts work that a request asks of a model's runners. */
    countWork(artifact: string, workMs: number): void {
        this.demand.count(artifact, workMs);
    }

    /** Asks the controller for a model or adapter; requests for the same one share the answer. */
    place(req: PlacementRequest): Promise<PlacementAnswer> {
        const key = `${req.service} ${artifactKey(req.model, req.adapter)} ${req.avoid.join(" ")}`;
        return getOrCreate(this.placing, key, () => this.askToPlace(req).finally(() => this.placing.delete(key)));
    }

    private async askToPlace(req: PlacementRequest): Promise<PlacementAnswer> {
        if (this.local.controller.isActive) {
            return this.local.controller.place(req);
        }
        const address = this.controllerAddress;
        if (address === undefined || address === this.gateway.settings.peerAddress) {
            return noController;
        }
        try {
            return await this.clientOf(address).place.mutate({ ...req, avoid: [...req.avoid], unreachable: [...req.unreachable] });
        }
        catch (err) {
            this.onLost(err);
            return noController;
        }
    }

    private async exchange(): Promise<void> {
        const askedAt = performance.now();
        const report = this.toReport();
        if (this.local.controller.isActive) {
            this.announce();
            this.take(this.local.peerServer.exchange(report), this.gateway.settings.peerAddress, report.work, askedAt);
            return;
        }
        const { peerAddress } = this.gateway.settings;
        const controller = this.controllerAddress;
        const others = this.peers.filter(address => address !== peerAddress);
        const isController = controller !== undefined && controller !== peerAddress && !this.isLost;
        const address = isController ? controller : pick(controller === undefined ? others : [...others, controller], this.gateway.random);
        if (address !== undefined) {
            this.take(
                await this.clientOf(address).exchange.mutate({ ...report, work: [...report.work], loads: toMutable(report.loads) }),
                address,
                report.work,
                askedAt,
            );
        }
    }

    /** Where the controller is reached, from its announcement or from the lease row. */
    private get controllerAddress(): string | undefined {
        const { latestAnnouncement: announced } = this.local.peerServer;
        return announced && announced.epoch > (this.lease.seenVersion ?? 0) ? announced.peerAddress : this.lease.holderAddress;
    }

    /** Tells all known nodes once that this one has become controller, so that they need not read the lease row. */
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
            configVersion: gateway.config?.version ?? 0,
            directoryVersion: gateway.directory.version,
            adaptersEpoch: this.heardEpoch,
            adaptersRevision: this.adaptersRevision,
            work: this.demand.take(),
            loads: gateway.ownLoads(),
        };
    }

    private take(answer: PeerAnswer, address: string, told: NodeReport["work"], askedAt: number): void {
        const { gateway } = this;
        if (answer.yielding) {
            this.lease.onYield(answer.yielding);
        }
        if (answer.epoch === undefined && address === this.controllerAddress) {
            // It has given the lease up, or lost it: the row tells.
            this.lastAnswerAt = Number.NEGATIVE_INFINITY;
        }
        if (answer.announced) {
            this.local.peerServer.recordAnnouncement(answer.announced);
        }
        if (answer.epoch !== undefined) {
            this.demand.onDelivered(answer.epoch, told);
            this.heardEpoch = answer.epoch;
            this.lastAnswerAt = performance.now();
            this.isLost = false;
            this.peers = answer.peers.length > 1 ? answer.peers : this.peers;
            gateway.knownNodes = Math.max(1, answer.peers.length);
        }
        if (answer.config !== undefined && decodeAndApplyConfig(gateway, Buffer.from(answer.config, "base64"), this.local.decodeConfig, "peer")) {
            this.local.onConfig();
        }
        if (answer.confirmedAgoMs !== undefined) {
            gateway.freshness.onControllerConfirmed(answer.confirmedAgoMs, askedAt);
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

    private onLost(err: unknown): void {
        if (!this.isLost) {
            emit(EventId.PeerExchangeFailed, { controller: this.controllerAddress, detail: toFailure(err).detail });
        }
        this.isLost = true;
    }

    private clientOf(address: string): TRPCClient<PeerServerRouter> {
        // tRPC is typed for the platform's fetch; the one from undici takes the dispatcher.
        const fetchWithTimeout =
            ((input: string, init: object) =>
                fetch(input, { ...init, dispatcher: this.dispatcher, signal: AbortSignal.timeout(peerTimeoutMs) })) as unknown as typeof globalThis.fetch;
        return getOrCreate(
            this.clients,
            address,
            () => createTRPCClient<PeerServerRouter>({ links: [httpLink({ url: `http://${address}`, fetch: fetchWithTimeout })] }),
        );
    }
}

const toMutable = (loads: NodeReport["loads"]): Record<string, [number, number]> =>
    Object.fromEntries(Object.entries(loads).map(([runner, [prefillMs, inFlight]]) => [runner, [prefillMs, inFlight]]));
