import type { ControllerLease } from "../core/controllerLease";
import { toFailure } from "../core/failures";
import { MonitoredStore } from "../core/monitoredStore";
import { PassingWaits } from "../core/passingWaits";
import { feedWaitMs, TableFollower } from "../core/tableFollower";
import { CallerServer } from "../forward/callerServer";
import { ContactMonitor } from "../forward/contactMonitor";
import { Gateway } from "../forward/gateway";
import { createMetricsServer, createReadinessServer } from "../forward/monitoringServers";
import { RelayIntake } from "../forward/relayIntake";
import { createConfigObserver, createDirectoryObserver } from "../forward/storeObservers";
import { usageMetrics } from "../forward/usageMetrics";
import { decodeConfig } from "../platform/configDecoder";
import { decodeServer } from "../platform/directoryDecoder";
import { platformTables } from "../platform/platformTables";
import { requestHeaderCodec } from "../platform/requestHeaderCodec";
import { RunnerClient } from "../platform/runnerClient";
import { StoreClient } from "../platform/storeClient";
import { askUpstream } from "../platform/upstreamQuestion";
import { Metrics } from "../plugins/metrics";
import { EventId } from "../types/eventId";
import type { PlatformNodeSettings } from "../types/platformNodeSettings";
import { emit } from "../utils/events";
import type { ServerPort } from "../utils/listenOn";
import { listenOnAll } from "../utils/listenOn";
import { createRandom } from "../utils/random";
import { StartStep, startTimes } from "../utils/startTimes";
import { sleep } from "../utils/time";
import { errorCodeOf } from "../utils/transport";
import { followStreamVersions } from "./followStreamVersions";
import { createNodePlacement } from "./nodePlacement";
import { placeGauges } from "./placeGauges";
import { PlannedStop } from "./plannedStop";
import { platformNodeGauges } from "./platformNodeGauges";
import type { SelfCheckItem } from "./selfCheck";
import { startSelfCheck } from "./selfCheck";
import { startWatches } from "./startWatches";

/** A stopping node accepts new connections for this long: the load balancer removes it after two failed readiness checks, one second apart. */
const stopNoticeMs = 2_600;
/** Time of the grace period that is left after that at least: to accept the connections that wait, and to answer their requests. */
const acceptMs = 1_000;
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
const msPerS = 1_000;

/** Settings that hold from the start of a node to its end. */
const fixedSettings = ["nodeId", "callerAddress", "readyAddress", "peerAddress", "metricsAddress", "storeAddress"] as const;

/** A node on the platform: forwards callers' requests and takes part in model placement. */
export class PlatformNode {
    private lease: ControllerLease | undefined;
    private readonly stopped = new AbortController();
    private readonly stopping = new AbortController();
    /** Aborts if the settings name another ID or other addresses before the node has started at those that it was created with. */
    private readonly outdated = new AbortController();
    private hasStarted = false;

    private latestSettings: PlatformNodeSettings;

    private constructor(
        private readonly settings: PlatformNodeSettings,
        private readonly store: MonitoredStore,
        private readonly gateway: Gateway,
        private readonly server: CallerServer,
        private readonly unexpectedErrors: () => number,
        private readonly metrics: Metrics,
    ) {
        this.latestSettings = settings;
    }

    /** Creates a node that does not listen yet; `unexpectedErrors` counts the errors that no handler caught. The metrics may be those of a node that it replaces. */
    static create(settings: PlatformNodeSettings, unexpectedErrors = (): number => 0, metrics = Metrics.create()): PlatformNode {
        const storeClient = StoreClient.create(settings.storeAddress, settings.limits);
        const store = MonitoredStore.create(storeClient);
        const gateway = Gateway.create(settings, requestHeaderCodec, createRandom(Date.now() ^ process.pid), store);
        storeClient.answers = gateway.ownAnswers;
        return new PlatformNode(settings, store, gateway, CallerServer.create(gateway), unexpectedErrors, metrics);
    }

    /**
     * Starts following the store and accepting requests, once all ports for callers, peers and the load balancer can be used; `onUnable` is called if the node can no
     * longer serve. Returns false if it was stopped before, or if the settings have come to name another ID or other addresses: such a node is renewed.
     */
    async start(onUnable: () => void = () => undefined): Promise<boolean> {
        const { settings, gateway, server, store } = this;
        const configRows = createConfigObserver(gateway, platformTables.configKey, decodeConfig, () => server.applyLimits());
        const { controllerClient, peerServer, lease, takePart } = createNodePlacement(gateway, store, {
            runners: RunnerClient.create(settings.limits, (runner, word) => {
                gateway.contact.onWord();
                gateway.availability.onAnswer(runner, word);
            }, gateway.ownAnswers),
            decodeConfig,
            onConfig: () => server.applyLimits(),
        }, this.stopped.signal);
        this.lease = lease;
        gateway.contactMonitor = ContactMonitor.create(gateway, askUpstream);
        gateway.contactMonitor.start(this.stopped.signal);
        peerServer.relayIntake = RelayIntake.create(gateway, server.reception, host => peerServer.nodes.hasHost(host));
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
            confirmation: gateway.confirmation,
        });
        const directory = TableFollower.create(store, platformTables.directory, createDirectoryObserver(gateway, decodeServer), gateway.random, {
            pauseMs: () => controllerClient.isController ? directoryPauseMs : ownReadPauseShare * Math.min(settings.drainMs, settings.applyMs),
            waitMs,
            maxRetryDelayMs,
            knownVersion: () => gateway.directory.version,
            freshness,
        });
        startWatches(gateway, this.stopped.signal);
        void config.run(this.stopped.signal);
        void directory.run(this.stopped.signal);
        followStreamVersions(gateway, this.stopped.signal);
        const waits = PassingWaits.create(AbortSignal.any([this.stopping.signal, this.outdated.signal]));
        this.metrics.registerGauges([
            ...platformNodeGauges(gateway, server, () => this.lease?.heldEpoch),
            ...placeGauges(peerServer.pacer),
            { name: "unexpected_errors", help: "Errors that no handler caught, since the start", read: this.unexpectedErrors },
            { name: "port_wait_seconds", help: "How long the node has waited for its ports, 0 if it has them", read: () => waits.longestMs / msPerS },
        ]);
        this.metrics.registerLabelled(usageMetrics(gateway, controllerClient.usageLevels));
        const metricsCheck = this.serveMetrics();
        const readiness = createReadinessServer(gateway, () => server.isListening);
        const callerPort = server.port(settings.callerAddress);
        const readinessPort = { server: readiness, address: settings.readyAddress };
        const peerPort = peerServer.port(settings.peerAddress);
        // That of callers last: closing it because another one is taken would reset what callers have sent.
        const ports = [peerPort, readinessPort, callerPort];
        if (!await listenOnAll(ports, waits)) {
            this.stopped.abort();
            // The runtime's timer of a server that has listened would keep the node.
            ports.forEach(({ server: httpServer }) => httpServer.close());
            return false;
        }
        takePart();
        this.hasStarted = true;
        const relisten = (port: ServerPort) => (): Promise<unknown> => listenOnAll([port], waits);
        startSelfCheck([
            { name: "listener for callers", isSound: () => gateway.isStopping || server.isListening, mend: relisten(callerPort) },
            { name: "listener for readiness checks", isSound: () => gateway.isStopping || readiness.listening, mend: relisten(readinessPort) },
            { name: "listener for peers", isSound: () => gateway.isStopping || peerPort.server.listening, mend: relisten(peerPort) },
            metricsCheck,
        ], onUnable);
        startTimes.mark(StartStep.Started);
        emit(EventId.NodeStarted, { node: settings.nodeId, zone: settings.availabilityZone, store: settings.storeAddress, startMs: startTimes.summary });
        return true;
    }

    /** Serves metrics as soon as their port can be used; callers do not wait for that. Returns the check that they are still served. */
    private serveMetrics(): SelfCheckItem {
        const address = this.settings.metricsAddress;
        const server = createMetricsServer(this.gateway, this.metrics);
        const { signal } = this.stopped;
        let wasOpened = false;
        const open = async (): Promise<void> => {
            try {
                wasOpened = await listenOnAll([{ server, address }], PassingWaits.create(signal));
            }
            catch (err) {
                wasOpened = false;
                emit(EventId.MetricsUnserved, { address, reason: errorCodeOf(err) });
            }
        };
        signal.addEventListener("abort", () => {
            server.close();
            server.closeAllConnections();
        });
        void open();
        return { name: "listener for metrics", isSound: () => !wasOpened || signal.aborted || server.listening, mend: open, isOptional: true };
    }

    /** Applies reloaded settings; the ID and the addresses keep their values from startup. */
    reload(next: PlatformNodeSettings): void {
        const { nodeId, callerAddress, readyAddress, peerAddress, metricsAddress, storeAddress } = this.settings;
        this.latestSettings = next;
        if (!this.hasStarted && fixedSettings.some(name => next[name] !== this.settings[name])) {
            this.outdated.abort();
        }
        this.gateway.settings = { ...next, nodeId, callerAddress, readyAddress, peerAddress, metricsAddress, storeAddress };
        emit(EventId.SettingsReloaded, { retrySlack: next.retrySlack, seeds: next.seeds.length });
    }

    /** Creates the node that replaces this one if it did not start, with the settings as they are by now. */
    renew(): PlatformNode {
        return PlatformNode.create(this.latestSettings, this.unexpectedErrors, this.metrics);
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
        const { gateway, server } = this;
        const stop = PlannedStop.begin(gateway.settings.graceMs, deadlineAt => {
            gateway.exitDeadlineAt = deadlineAt;
            if (performance.now() >= deadlineAt - waitsEndMs) {
                gateway.waitsEnd.give();
            }
        });
        gateway.isStopping = true;
        this.stopping.abort();
        gateway.stopRequestedAt = stop.requestedAt;
        emit(EventId.NodeStopping, { inProgress: gateway.inProgress });
        const released = this.lease?.release().catch((err: unknown) => emit(EventId.ControllerRoundFailed, { detail: toFailure(err).detail }));
        await stop.run("notice", sleep(this.hasStarted ? stopNoticeMs : 0), acceptMs);
        await stop.run("accept", server.stopListening(() => stop.deadlineAt));
        await stop.run("finish", server.finishRequests(stop.latestDeadlineAt));
        await stop.run("release", released ?? Promise.resolve());
        await this.answerLast(stop);
        const { inProgress } = gateway;
        // Requests that still arrive on open connections are refused as not run while the last bytes are flushed.
        stop.end();
        gateway.exitDeadlineAt = performance.now();
        server.logCutAtExit();
        this.stopped.abort();
        emit(inProgress > 0 ? EventId.NodeCutOff : EventId.NodeStopped, { inProgress, ...stop.summary, backlog: server.drainedBacklog });
        await stop.pause(flushMs);
        return inProgress;
    }
}
