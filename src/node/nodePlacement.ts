import { randomUUID } from "node:crypto";
import { ControllerLease } from "../core/controllerLease";
import { toFailure } from "../core/failures";
import { LateLoads } from "../core/lateLoads";
import { LeaseVacancy } from "../core/leaseVacancy";
import type { MonitoredStore } from "../core/monitoredStore";
import { takeoverDelayMs } from "../core/takeoverDelay";
import type { Gateway } from "../forward/gateway";
import type { ConfigDecoder } from "../forward/storeObservers";
import { UpstreamProber } from "../forward/upstreamProber";
import { Controller } from "../placement/controller";
import { ControllerClient } from "../placement/controllerClient";
import { ControllerLink } from "../placement/controllerLink";
import { PeerServer } from "../placement/peerServer";
import { tickLease } from "../placement/tickLease";
import { ContactState } from "../types/contactState";
import { EventId } from "../types/eventId";
import type { RunnerControl } from "../types/runner";
import { emit } from "../utils/events";
import { repeat } from "../utils/time";

/** Interval between renewals of the controller's lease. */
const leaseRenewalMs = 450;
/** With more nodes than this, each reads the lease row less often; one of them still notices an expired lease soon. */
const maxFullRateNodes = 8;
/** Minimum pause between two attempts to take a vacant lease. */
const minTakeoverPauseMs = 200;
/** A controller that has not answered for this long may be gone; the lease row shows whether it is. */
const controllerTimeoutMs = 1_500;

/** What a node's placement is given. */
interface PlacementParts {
    readonly runners: RunnerControl;
    readonly decodeConfig: ConfigDecoder;
    /** Called when a newer configuration is in force. */
    readonly onConfig: () => void;
}

/** The parts of model placement, which begin with `takePart`. */
export interface NodePlacement {
    readonly controllerClient: ControllerClient;
    readonly peerServer: PeerServer;
    readonly lease: ControllerLease;
    readonly takePart: () => void;
}

/**
 * Creates a node's part in model placement. From `takePart` on it is done as the controller while this node holds the lease, otherwise by requests to the controller;
 * peers must be able to reach the node by then.
 */
export const createNodePlacement = (gateway: Gateway, store: MonitoredStore, parts: PlacementParts, signal: AbortSignal): NodePlacement => {
    const { settings } = gateway;
    const { runners, decodeConfig, onConfig } = parts;
    const self = { holder: settings.nodeId, boot: randomUUID(), peerAddress: settings.peerAddress };
    const vacancy = LeaseVacancy.create(() => takeoverDelayMs(settings.cores, controllerClient.largestKnownCores, gateway.contact.state === ContactState.Lost));
    const lateLoads = LateLoads.create();
    const lease = ControllerLease.create(store, self, settings, vacancy, gateway.crashLog, lateLoads);
    gateway.prober = UpstreamProber.create(runners, runner => gateway.availability.mayCall(runner));
    const link = ControllerLink.create();
    const controller = Controller.create(gateway, lease, runners, lateLoads);
    const peerServer = PeerServer.create(gateway, controller, link);
    const controllerClient: ControllerClient = ControllerClient.create(gateway, lease, link, {
        peerServer,
        controller,
        decodeConfig,
        onConfig,
    });
    gateway.placement = controllerClient;
    const isControllerResponding = (): boolean => link.ageMs < controllerTimeoutMs;
    const tick = (): Promise<void> => tickLease(lease, gateway.contact, peerServer.nodes, isControllerResponding());
    const pauseMs = (): number => {
        if (lease.heldEpoch !== undefined) {
            return leaseRenewalMs;
        }
        const readPauseMs = leaseRenewalMs * Math.max(1, gateway.knownNodes / maxFullRateNodes) * (0.5 + gateway.random());
        return vacancy.takeoverInMs === undefined || isControllerResponding() ? readPauseMs : Math.max(minTakeoverPauseMs, vacancy.takeoverInMs);
    };
    const takePart = (): void => {
        controllerClient.start(signal);
        controller.start(signal);
        void repeat(
            tick,
            pauseMs,
            signal,
            err => emit(EventId.ControllerRoundFailed, { detail: toFailure(err).detail }),
        );
    };
    return { controllerClient, peerServer, lease, takePart };
};
