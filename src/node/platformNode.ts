import { randomUUID } from "node:crypto";
import { ControllerLease } from "../core/controllerLease";
import { toFailure } from "../core/failures";
import { LateLoads } from "../core/lateLoads";
import { LeaseVacancy } from "../core/leaseVacancy";
import { MonitoredStore } from "../core/monitoredStore";
import { feedWaitMs, TableFollower } from "../core/tableFollower";
import { takeoverDelayMs } from "../core/takeoverDelay";
import { availabilityGauges } from "../forward/availabilityGauges";
import { CallerServer } from "../forward/callerServer";
import { contactGauges } from "../forward/contactGauges";
import { ContactMonitor } from "../forward/contactMonitor";
import { Gateway } from "../forward/gateway";
import { serveMetrics, serveReadiness } from "../forward/monitoringServers";
import { createConfigObserver, createDirectoryObserver } from "../forward/storeObservers";
import { UpstreamProber } from "../forward/upstreamProber";
import { Controller } from "../placement/controller";
import { ControllerClient } from "../placement/controllerClient";
import { ControllerLink } from "../placement/controllerLink";
import { PeerServer } from "../placement/peerServer";
import { tickLease } from "../placement/tickLease";
import { decodeConfig } from "../platform/configDecoder";
import { decodeServer } from "../platform/directoryDecoder";
import { platformTables } from "../platform/platformTables";
import { requestHeaderCodec } from "../platform/requestHeaderCodec";
import { RunnerClient } from "../platform/runnerClient";
import { StoreClient } from "../platform/storeClient";
import { askUpstream } from "../platform/upstreamQuestion";
import { Metrics } from "../plugins/metrics";
import { ContactState } from "../types/contactState";
import { EventId } from "../types/eventId";
import type { PlatformNodeSettings } from "../types/platformNodeSettings";
import { emit } from "../utils/events";
import { createRandom } from "../utils/random";
import { repeat, sleep } from "../utils/time";
import { PlannedStop } from "./plannedStop";
import { platformNodeGauges } from "./platformNodeGauges";
import { startSelfCheck } from "./selfCheck";

/** A stopping node accepts new connections for this long: the load balancer removes it after two failed readiness checks, one second apart. */
const stopNoticeMs = 2_600;
/** Requests that still wait to be sent are refused this long before the last answers are given, and these are written within a time. */
const waitsEndMs = 250;
const lastAnswersMs = 50;
/** Time for flushing the last bytes of answers and log lines. */
const flushMs = 100;
/** Long-poll wait of the controller's reads of the change feed; shorter than other nodes', which rely on what the controller has read. */
const controllerFeedWaitMs = 500;
/** Pause after a change of the directory, so that one call returns several changes. */
const directoryPauseMs = 250;
/** Pause of a node that reads the store for itself, as a share of the time allowed for a change: all nodes do so while there is no controller. */
const ownReadPauseShare = 0.3;
/** Upper bound of the delay after failed reads of the store: a share of the time allowed for a change, less in small fleets. */
const maxRetryDelayShare = 0.5;
const retryDelayPerNodeMs = 25;
/** Interval between renewals of the controller's lease. */
const leaseRenewalMs = 450;
/** With more nodes than this, each reads the lease row less often; one of them still notices an expired lease soon. */
const maxFullRateNodes = 8;
/** Minimum pause between two attempts to take a vacant lease. */
const minTakeoverPauseMs = 200;
/** Interval between two reads of the records of streams until one succeeds, and at which the controller maintains them. */
const streamReadRetryMs = 400;
const streamMaintenanceIntervalMs = 5_000;
/** A controller that has not answered for this long may be gone; the lease row shows whether it is. */
const controllerTimeoutMs = 1_500;

/** A node on the platform: forwards callers' requests and takes part in model placement. */
export class PlatformNode {
    private lease: ControllerLease | undefined;
    private readonly stopped = new AbortController();

    private constructor(
        private readonly settings: PlatformNodeSettings,
        private readonly store: MonitoredStore,
        private readonly gateway: Gateway,
        private readonly server: CallerServer,
        private readonly unexpectedErrors: () => number,
    ) {}

    /** Creates a node that does not listen yet; `unexpectedErrors` counts the errors that no handler caught. */
    static create(settings: PlatformNodeSettings, unexpectedErrors = (): number => 0): PlatformNode {
        const store = MonitoredStore.create(StoreClient.create(settings.storeAddress, settings.limits));
        const gateway = Gateway.create(settings, requestHeaderCodec, createRandom(Date.now() ^ process.pid), store);
        return new PlatformNode(settings, store, gateway, CallerServer.create(gateway), unexpectedErrors);
    }

    /** Starts following the store and accepting requests; `onUnable` is called if the node can no longer serve. */
    async start(onUnable: () => void = () => undefined): Promise<void> {
        const { settings, gateway, server, store } = this;
        const configRows = createConfigObserver(gateway, platformTables.configKey, decodeConfig, () => server.applyLimits());
        const { controllerClient, peerServer } = this.startPlacement(store);
        const waitMs = (): number => controllerClient.isController ? controllerFeedWaitMs : feedWaitMs;
        // While the store is away all nodes try it, and one that reaches it tells the others.
        const maxRetryDelayMs = (): number =>
            Math.min(maxRetryDelayShare * Math.min(settings.drainMs, settings.applyMs), retryDelayPerNodeMs * gateway.knownNodes);
        const { freshness } = gateway;
        const config = TableFollower.create(store, platformTables.config, configRows, gateway.random, {
            pauseMs: () => 0,
            waitMs,
            maxRetryDelayMs,
            knownVersion: () => 0,
            freshness,
        });
        const directory = TableFollower.create(store, platformTables.directory, createDirectoryObserver(gateway, decodeServer), gateway.random, {
            pauseMs: () => controllerClient.isController ? directoryPauseMs : ownReadPauseShare * Math.min(settings.drainMs, settings.applyMs),
            waitMs,
            maxRetryDelayMs,
            knownVersion: () => gateway.directory.version,
            freshness,
        });
        void config.run(this.stopped.signal);
        void directory.run(this.stopped.signal);
        this.followStreamVersions();
        const metrics = Metrics.create();
        metrics.registerGauges([
            ...platformNodeGauges(gateway, server, () => this.lease?.heldEpoch),
            ...availabilityGauges(gateway),
            ...contactGauges(gateway),
            { name: "unexpected_errors", help: "Errors that no handler caught, since the start", read: this.unexpectedErrors },
        ]);
        await serveMetrics(metrics, settings.metricsAddress);
        await peerServer.listen(settings.peerAddress);
        // Callers and the load balancer come last: they must not be answered by a node that then fails to start.
        await server.listen(settings.callerAddress);
        const readiness = await serveReadiness(gateway, settings.readyAddress);
        startSelfCheck([
            { name: "listener for callers", isSound: () => gateway.isStopping || server.isListening },
            { name: "listener for readiness checks", isSound: () => gateway.isStopping || readiness.listening },
        ], onUnable);
        emit(EventId.NodeStarted, { node: settings.nodeId, zone: settings.availabilityZone, store: settings.storeAddress });
    }

    /** Reads the records of streams once, and maintains them on the controller. */
    private followStreamVersions(): void {
        const { streamVersions, placement, random } = this.gateway;
        const step = async (): Promise<void> => {
            if (!streamVersions.table) {
                await streamVersions.readTable();
            }
            await streamVersions.flush();
            if (placement.isController) {
                await streamVersions.maintain();
            }
        };
        void repeat(
            step,
            () => streamVersions.table ? streamMaintenanceIntervalMs : streamReadRetryMs * (0.5 + random()),
            this.stopped.signal,
            err => emit(EventId.StreamRecordsUnread, { detail: toFailure(err).detail }),
        );
    }

    /** Starts model placement: as the controller while this node holds the lease, otherwise by requests to the controller. */
    private startPlacement(store: MonitoredStore): { readonly controllerClient: ControllerClient; readonly peerServer: PeerServer; } {
        const { gateway, settings } = this;
        const { signal } = this.stopped;
        const self = { holder: settings.nodeId, boot: randomUUID(), peerAddress: settings.peerAddress };
        const vacancy = LeaseVacancy.create(() =>
            takeoverDelayMs(settings.cores, controllerClient.largestKnownCores, gateway.contact.state === ContactState.Lost)
        );
        const lateLoads = LateLoads.create();
        const lease = ControllerLease.create(store, self, settings, vacancy, gateway.crashLog, lateLoads);
        const { availability } = gateway;
        const runners = RunnerClient.create(settings.limits, (runner, word) => {
            gateway.contact.onWord();
            availability.onAnswer(runner, word);
        });
        gateway.contactMonitor = ContactMonitor.create(gateway, askUpstream);
        gateway.contactMonitor.start(signal);
        gateway.prober = UpstreamProber.create(runners, runner => availability.mayCall(runner));
        const link = ControllerLink.create();
        const controller = Controller.create(gateway, lease, runners, lateLoads);
        const peerServer = PeerServer.create(gateway, controller, link);
        const controllerClient: ControllerClient = ControllerClient.create(gateway, lease, link, {
            peerServer,
            controller,
            decodeConfig,
            onConfig: () => this.server.applyLimits(),
        });
        gateway.placement = controllerClient;
        controllerClient.start(signal);
        controller.start(signal);
        const isControllerResponding = (): boolean => link.ageMs < controllerTimeoutMs;
        const tick = (): Promise<void> => tickLease(lease, gateway.contact, peerServer.nodes, isControllerResponding());
        const pauseMs = (): number => {
            if (lease.heldEpoch !== undefined) {
                return leaseRenewalMs;
            }
            const readPauseMs = leaseRenewalMs * Math.max(1, gateway.knownNodes / maxFullRateNodes) * (0.5 + gateway.random());
            return vacancy.takeoverInMs === undefined || isControllerResponding() ? readPauseMs : Math.max(minTakeoverPauseMs, vacancy.takeoverInMs);
        };
        void repeat(
            tick,
            pauseMs,
            signal,
            err => emit(EventId.ControllerRoundFailed, { detail: toFailure(err).detail }),
        );
        this.lease = lease;
        return { controllerClient, peerServer };
    }

    /** Applies reloaded settings; addresses keep their values from startup. */
    reload(next: PlatformNodeSettings): void {
        const { callerAddress, readyAddress, peerAddress, metricsAddress, storeAddress } = this.settings;
        this.gateway.settings = { ...next, callerAddress, readyAddress, peerAddress, metricsAddress, storeAddress };
        emit(EventId.SettingsReloaded, { retrySlack: next.retrySlack, seeds: next.seeds.length });
    }

    /** Answers what its upstreams have not answered, except streams that have begun. */
    private async answerLast(stop: PlannedStop): Promise<void> {
        const { gateway } = this;
        gateway.waitsEnd.give();
        gateway.attemptsEnd.give();
        if (gateway.inProgress > 0) {
            await new Promise(resolve => setImmediate(resolve));
            await stop.pause(lastAnswersMs);
        }
    }

    /** Stops gracefully: reports not ready, then closes the listener, then finishes requests in progress. Returns the number of requests cut off. */
    async stop(): Promise<number> {
        const { gateway, settings, server } = this;
        const stop = PlannedStop.begin(settings.graceMs, deadlineAt => {
            gateway.exitDeadlineAt = deadlineAt;
            if (performance.now() >= deadlineAt - waitsEndMs) {
                gateway.waitsEnd.give();
            }
        });
        gateway.isStopping = true;
        gateway.stopRequestedAt = stop.requestedAt;
        emit(EventId.NodeStopping, { inProgress: gateway.inProgress });
        const released = this.lease?.release().catch((err: unknown) => emit(EventId.ControllerRoundFailed, { detail: toFailure(err).detail }));
        await stop.run("notice", sleep(stopNoticeMs));
        await stop.run("accept", server.stopListening(stop.latestDeadlineAt));
        await stop.run("finish", server.finishRequests(stop.latestDeadlineAt));
        await stop.run("release", released ?? Promise.resolve());
        await this.answerLast(stop);
        const { inProgress } = gateway;
        // Requests that still arrive on open connections are refused as not run while the last bytes are flushed.
        stop.end();
        gateway.exitDeadlineAt = performance.now();
        server.logCutAtExit();
        this.stopped.abort();
        emit(inProgress > 0 ? EventId.NodeCutOff : EventId.NodeStopped, { inProgress, ...stop.summary });
        await stop.pause(flushMs);
        return inProgress;
    }
}
