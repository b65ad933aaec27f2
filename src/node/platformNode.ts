import { randomUUID } from "node:crypto";
import { ControllerLease } from "../core/controllerLease";
import { toFailure } from "../core/failures";
import { feedWaitMs, TableFollower } from "../core/tableFollower";
import { CallerServer } from "../forward/callerServer";
import { Gateway } from "../forward/gateway";
import { serveMetrics, serveReadiness } from "../forward/monitoringServers";
import { createConfigObserver, createDirectoryObserver } from "../forward/storeObservers";
import { Controller } from "../placement/controller";
import { ControllerClient } from "../placement/controllerClient";
import { PeerServer } from "../placement/peerServer";
import { decodeConfig } from "../platform/configDecoder";
import { decodeServer } from "../platform/directoryDecoder";
import { platformTables } from "../platform/platformTables";
import { requestHeaderCodec } from "../platform/requestHeaderCodec";
import { RunnerClient } from "../platform/runnerClient";
import { StoreClient } from "../platform/storeClient";
import { Metrics } from "../plugins/metrics";
import { EventId } from "../types/eventId";
import type { PlatformNodeSettings } from "../types/platformNodeSettings";
import { emit } from "../utils/events";
import { createRandom } from "../utils/random";
import { repeat, sleep } from "../utils/time";

/** Time for which a stopping node still takes new connections: the balancer needs two missed questions, a second apart. */
const noticeMs = 2_600;
/** The process is gone this long before the platform would kill it. */
const exitMarginMs = 600;
const pollMs = 50;
/** Time in which the last bytes of answers and log lines leave. */
const flushMs = 100;
/** Wait of the controller's calls to the store's feed: all nodes go by what it knows. */
const sourceWaitMs = 500;
/** Pause after changes of the directory, so that several come in one call. */
const directoryPauseMs = 250;
/** Pause between two renewals of the controller's lease. */
const renewMs = 450;
/** With more nodes than this each looks at the lease row less often; one of them still sees soon that it has lapsed. */
const crowdNodes = 8;
/** A controller that was not heard of for this long may be gone: the lease row tells. */
const controllerSilenceMs = 1_000;

/** A node on the platform: forwards callers' requests, and takes its part in placing models. */
export class PlatformNode {
    private lease: ControllerLease | undefined;
    private readonly stopped = new AbortController();

    private constructor(private readonly settings: PlatformNodeSettings, private readonly gateway: Gateway, private readonly server: CallerServer) {}

    /** Makes a node that does not listen yet. */
    static create(settings: PlatformNodeSettings): PlatformNode {
        const gateway = Gateway.create(settings, requestHeaderCodec, createRandom(Date.now() ^ process.pid));
        return new PlatformNode(settings, gateway, CallerServer.create(gateway));
    }

    /** Follows the store and takes requests. */
    async start(): Promise<void> {
        const { settings, gateway, server } = this;
        const store = StoreClient.create(settings.storeAddress);
        const configRows = createConfigObserver(gateway, platformTables.configKey, decodeConfig, () => server.applyLimits());
        const { link, hub } = this.startPlacement(store);
        const waitMs = (): number => link.isController ? sourceWaitMs : feedWaitMs;
        const { freshness } = gateway;
        const config = TableFollower.create(store, platformTables.config, configRows, gateway.random, { pauseMs: 0, waitMs, knownVersion: () => 0, freshness });
        const directory = TableFollower.create(store, platformTables.directory, createDirectoryObserver(gateway, decodeServer), gateway.random, {
            pauseMs: directoryPauseMs,
            waitMs,
            knownVersion: () => gateway.directory.version,
            freshness,
        });
        void config.run(this.stopped.signal);
        void directory.run(this.stopped.signal);
        const metrics = Metrics.create();
        metrics.registerGauges([
            { name: "config_version", help: "Version of the configuration in force", read: () => gateway.config?.version ?? 0 },
            { name: "directory_version", help: "Version of the store up to which the directory is known", read: () => gateway.directory.version },
            { name: "requests_in_progress", help: "Requests in progress", read: () => gateway.inProgress },
            { name: "upstreams_known", help: "Upstreams in the directory", read: () => gateway.directory.all().length },
            { name: "nodes_known", help: "Nodes that share the budgets of repeats", read: () => gateway.knownNodes },
            { name: "controller_epoch", help: "Epoch under which this node controls runners, 0 where it does not", read: () => this.lease?.heldEpoch ?? 0 },
        ]);
        await serveMetrics(metrics, settings.metricsAddress);
        await Promise.all([hub.listen(settings.peerAddress), serveReadiness(gateway, settings.readyAddress), server.listen(settings.callerAddress)]);
        emit(EventId.NodeStarted, { node: settings.nodeId, zone: settings.availabilityZone, store: settings.storeAddress });
    }

    /** Takes part in placing models: as controller while the lease is held, else by asking the controller. */
    private startPlacement(store: StoreClient): { readonly link: ControllerClient; readonly hub: PeerServer; } {
        const { gateway, settings } = this;
        const { signal } = this.stopped;
        const self = { holder: settings.nodeId, boot: randomUUID(), peerAddress: settings.peerAddress };
        const lease = ControllerLease.create(store, self, settings);
        const controller = Controller.create(gateway, lease, RunnerClient.create());
        const hub = PeerServer.create(gateway, controller);
        const link = ControllerClient.create(gateway, lease, { peerServer: hub, controller, decodeConfig, onConfig: () => this.server.applyLimits() });
        gateway.placement = link;
        link.start(signal);
        controller.start(signal);
        const tick = async (): Promise<void> => {
            const isHeard = performance.now() - link.lastAnswerAt < controllerSilenceMs;
            if (lease.heldEpoch !== undefined || !isHeard) {
                await lease.tick();
            }
        };
        void repeat(
            tick,
            () => lease.heldEpoch === undefined ? renewMs * Math.max(1, gateway.knownNodes / crowdNodes) * (0.5 + gateway.random()) : renewMs,
            signal,
            err => emit(EventId.ControllerRoundFailed, { detail: toFailure(err).detail }),
        );
        this.lease = lease;
        return { link, hub };
    }

    /** Takes settings that were read again; addresses stay as they were at the start. */
    reload(next: PlatformNodeSettings): void {
        const { callerAddress, readyAddress, peerAddress, metricsAddress, storeAddress } = this.settings;
        this.gateway.settings = { ...next, callerAddress, readyAddress, peerAddress, metricsAddress, storeAddress };
        emit(EventId.SettingsReloaded, { retrySlack: next.retrySlack, seeds: next.seeds.length });
    }

    /** Ends gracefully: not ready first, then no new connections, then what is in progress. Returns the requests that were cut off. */
    async stop(): Promise<number> {
        const { gateway, settings, server } = this;
        const startedAt = performance.now();
        gateway.isStopping = true;
        gateway.stopRequestedAt = startedAt;
        gateway.exitDeadlineAt = startedAt + settings.graceMs - exitMarginMs;
        emit(EventId.NodeStopping, { inProgress: gateway.inProgress });
        const released = this.lease?.release().catch((err: unknown) => emit(EventId.ControllerRoundFailed, { detail: toFailure(err).detail }));
        await sleep(noticeMs);
        await released;
        server.close();
        while (gateway.inProgress > 0 && performance.now() < gateway.exitDeadlineAt) {
            await sleep(pollMs);
        }
        const { inProgress } = gateway;
        // What comes now, on a connection that was opened before, is refused as not run while the last bytes leave.
        gateway.exitDeadlineAt = performance.now();
        this.stopped.abort();
        emit(inProgress > 0 ? EventId.NodeCutOff : EventId.NodeStopped, { inProgress });
        await sleep(flushMs);
        return inProgress;
    }
}
