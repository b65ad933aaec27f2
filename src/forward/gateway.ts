import type { Socket } from "node:net";
import type { ActiveConfig } from "../core/activeConfig";
import { createActiveConfig } from "../core/activeConfig";
import { AnswerMemory } from "../core/answerMemory";
import { CrashLog } from "../core/crashLog";
import type { CustomerTable } from "../core/customerTable";
import { HeapWatch } from "../core/heapWatch";
import { LearnedSpeeds } from "../core/learnedSpeeds";
import { MemoryBudget } from "../core/memoryBudget";
import { memoryLimitOf } from "../core/memoryLimit";
import { OutputShares } from "../core/outputShares";
import type { PriorityLevels } from "../core/priorityLevels";
import { PromptCacheTracker } from "../core/promptCacheTracker";
import { ReceivedParts } from "../core/receivedParts";
import { RequestHeap } from "../core/requestHeap";
import { RequestQueue } from "../core/requestQueue";
import { ResidencyView } from "../core/residencyView";
import type { RouteTable } from "../core/routeTable";
import { RunnerLimits } from "../core/runnerLimits";
import type { RevisionCounter } from "../core/sharedLog";
import { SharedRetryBudget } from "../core/sharedRetryBudget";
import { SlowReaders } from "../core/slowReaders";
import { StoreFreshness } from "../core/storeFreshness";
import { streamLifetimeMsOf } from "../core/streamLifetime";
import { StreamVersions } from "../core/streamVersions";
import { TurnWatch } from "../core/turnWatch";
import { UnfinishedHeads } from "../core/unfinishedHeads";
import { UpstreamAvailability } from "../core/upstreamAvailability";
import { UpstreamContact } from "../core/upstreamContact";
import { UpstreamDirectory } from "../core/upstreamDirectory";
import { applyPeerLoads, ownLoadsOf } from "../core/upstreamLoads";
import { UpstreamTraffic } from "../core/upstreamTraffic";
import { UsageCounters } from "../core/usageCounters";
import { WaitingRequests } from "../core/waitingRequests";
import { MemoryHolder } from "../types/memoryHolder";
import type { RunnerLoads } from "../types/placement";
import type { PlatformNodeSettings } from "../types/platformNodeSettings";
import type { RequestHeaderCodec } from "../types/requestHeaderCodec";
import type { RowStore } from "../types/rowStore";
import type { EngineSpec, ServingConfig } from "../types/servingConfig";
import { getOrCreate } from "../utils/maps";
import { MemoryGauge } from "../utils/memoryGauge";
import { Notice } from "../utils/notice";
import type { Random } from "../utils/random";
import type { ContactMonitor } from "./contactMonitor";
import { CrashWatch } from "./crashWatch";
import { createConfirmation } from "./createConfirmation";
import { createZoneSpill } from "./createZoneSpill";
import { Departures } from "./departures";
import { describeUse } from "./describeUse";
import { forgetFailuresOnRegain } from "./forgetFailuresOnRegain";
import { logUpstreamChange } from "./logUpstreamChange";
import { PeerRelays } from "./peerRelays";
import { disabledPlacement } from "./placement";
import type { Placement } from "./placement";
import { UpstreamConnectionPool } from "./upstreamConnectionPool";
import type { UpstreamProber } from "./upstreamProber";

/** Charge for a connection to an upstream. */
const upstreamConnectionBytes = 32_768;
/** Time within which a node stores the base version of a service, if the controller has not done so before. */
const maxFirstWriteDelayMs = 1_000;
/** Number of nodes assumed to share a budget until the controller reports how many there are. */
const defaultNodeCount = 12;

/** Shared state of the components of a node that forwards requests. */
export class Gateway {
    readonly directory = UpstreamDirectory.create();
    readonly cache = PromptCacheTracker.create();
    readonly residency = ResidencyView.create();
    readonly queue = RequestQueue.create();
    readonly departures = Departures.create();
    private active: ActiveConfig | undefined;
    private readonly trafficByUpstream = new Map<string, UpstreamTraffic>();
    private readonly poolByUpstream = new Map<string, UpstreamConnectionPool>();
    private readonly budgetByService = new Map<string, SharedRetryBudget>();
    /** Estimated number of nodes that share the budgets. */
    knownNodes = defaultNodeCount;
    /** The active configuration as it was published, for peers. */
    configBytes: Buffer | undefined;
    placement: Placement = disabledPlacement;
    /** Called when a newer configuration has been activated. */
    onConfig: () => void = () => undefined;
    /** Probes silent runners; without it, silence alone counts, and no crash is recorded. */
    prober: UpstreamProber | undefined;
    /** Without it, this node takes its path to the upstreams for granted. */
    contactMonitor: ContactMonitor | undefined;
    /** Counts the changes of what this node shares with the others. */
    readonly factCounter: RevisionCounter = { value: 0 };
    /** Crashes of runners, and the prompt parts that are in quarantine for them. */
    readonly crashLog = CrashLog.create(this.factCounter);
    /** Speeds of upstreams that the nodes learned. */
    readonly learnedSpeeds = LearnedSpeeds.create(this.factCounter);
    /** Limits that runners name in their answers. */
    readonly runnerLimits = RunnerLimits.create(this.factCounter);
    /** Which upstreams may get requests, by the directory and by their own word. */
    readonly availability = UpstreamAvailability.create(this.directory, id => this.trafficByUpstream.get(id)?.inFlight ?? 0, this.factCounter);
    /** Units of customers that this node's requests took. */
    readonly usage = UsageCounters.create();
    /** Requests that wait until an upstream that asked for quiet takes requests again. */
    readonly quietWaiters = WaitingRequests.create();
    readonly crashWatch = CrashWatch.create(this.crashLog, () => this.prober, async (...args) => await this.contactMonitor?.confirm(...args) ?? true);
    /** Tracks whether the controller's reads of the store make this node's own reads unnecessary. */
    readonly freshness = StoreFreshness.create(() => this.placement.isController, () => Math.min(this.settings.drainMs, this.settings.applyMs));
    /** How long ago the configuration was known to be the newest. */
    readonly confirmation = createConfirmation(this);
    readonly memoryGauge = MemoryGauge.create();
    readonly receivedParts = ReceivedParts.create();
    readonly turnWatch = TurnWatch.create(this.receivedParts, () => this.memoryGauge.read());
    readonly outputShares = OutputShares.create();
    /** Memory of the process for its callers and upstreams. */
    readonly memory = MemoryBudget.create({
        limitBytes: () => memoryLimitOf(this.settings.memoryBytes, this.memoryGauge.read()),
        random: () => this.random(),
    });
    /** Heap for the requests of callers. */
    readonly requestHeap = RequestHeap.create({ heapLimitBytes: () => this.memoryGauge.read().heapLimit, random: () => this.random() });
    /** Heads of callers' requests that have not been read to their end. */
    readonly unfinishedHeads = UnfinishedHeads.create<Socket>({ heapLimitBytes: () => this.memoryGauge.read().heapLimit });
    readonly heapWatch = HeapWatch.create(() => this.memoryGauge.read(), () => describeUse(this));
    /** Memory for answers that are kept until they are complete. */
    readonly answerMemory = AnswerMemory.create(
        () => Math.min(this.settings.limits.maxHeldAnswerBytes, this.memory.answerLimitBytes),
        (holder, bytes) => this.memory.charge(holder, bytes),
    );
    /** Events that slow readers have not taken, where runners must be read on. */
    readonly slowReaders = SlowReaders.create(this.memory);
    /** Whether this node reaches upstreams over its own links. */
    readonly contact = UpstreamContact.create(() => this.random(), process => this.runnerLimits.limitOf(process) !== undefined);
    readonly zoneSpill = createZoneSpill(this);
    /** The peers through which callers are served while it does not. */
    readonly peers = PeerRelays.create(this);
    /** Connections to upstreams that are open or being opened. */
    upstreamConnections = 0;
    isStopping = false;
    /** When the node was requested to stop, and when the process exits at the latest, on the monotonic clock. */
    stopRequestedAt = Number.POSITIVE_INFINITY;
    exitDeadlineAt = Number.POSITIVE_INFINITY;
    /** Given shortly before the process exits: to requests that wait to be sent, then to those whose upstreams have not answered. */
    readonly waitsEnd = Notice.create();
    readonly attemptsEnd = Notice.create();
    /** Requests that have been received and not answered yet. */
    inProgress = 0;

    /** The software versions that began streams. */
    readonly streamVersions: StreamVersions;

    private constructor(public settings: PlatformNodeSettings, readonly wire: RequestHeaderCodec, readonly random: Random, store: RowStore | undefined) {
        const firstWriteDelayMs = (): number => this.placement.isController ? 0 : maxFirstWriteDelayMs * (0.5 + random() / 2);
        const isInContact = (): boolean => this.freshness.isInContact;
        this.streamVersions = StreamVersions.create(this.directory, settings.nodeId, () => this.streamLifetimeMs, store, firstWriteDelayMs, isInContact);
        forgetFailuresOnRegain(this.contact, this.trafficByUpstream, this.poolByUpstream);
        this.directory.observe(({ id, server, version }, previous) => {
            logUpstreamChange({ id, server, version }, previous);
            this.residency.onDirectoryChange(id);
            // A request that had been waiting may have asked for an upstream's pool after its removal.
            if (!server || previous?.bornAt !== server.bornAt || previous.address !== server.address) {
                this.removeUpstream(id);
            }
        });
    }

    /** Creates the shared state of a node without a configuration or upstreams. */
    static create(settings: PlatformNodeSettings, wire: RequestHeaderCodec, random: Random, store?: RowStore): Gateway {
        return new Gateway(settings, wire, random, store);
    }

    /** Time for which callers may take a stream up. */
    get streamLifetimeMs(): number {
        return streamLifetimeMsOf(this.config);
    }

    get config(): ServingConfig | undefined {
        return this.active?.config;
    }

    get routes(): RouteTable | undefined {
        return this.active?.routes;
    }

    /** The customers of the active configuration; undefined if it declares none, so that no request needs a key. */
    get customers(): CustomerTable | undefined {
        return this.active?.customers;
    }

    /** How runners are told the priorities of requests; undefined without customers. */
    get priorityLevels(): PriorityLevels | undefined {
        return this.active?.priorityLevels;
    }

    /** Activates a configuration if it is newer than the active one; returns whether it did. */
    applyConfig(config: ServingConfig, bytes: Buffer): boolean {
        if (this.active && config.version <= this.active.config.version) {
            return false;
        }
        this.configBytes = bytes;
        this.active = createActiveConfig(config);
        this.onConfig();
        return true;
    }

    /** The engines of a service in the active configuration; undefined for a plain service. */
    engineOf(service: string): EngineSpec | undefined {
        return this.config?.services.get(service)?.engine;
    }

    trafficOf(id: string): UpstreamTraffic {
        return getOrCreate(this.trafficByUpstream, id, () => UpstreamTraffic.create());
    }

    connectionPoolOf(id: string, address: string): UpstreamConnectionPool {
        return getOrCreate(this.poolByUpstream, id, () =>
            UpstreamConnectionPool.create(
                address,
                this.settings.limits.maxAnswerHeadBytes,
                change => {
                    this.upstreamConnections += change;
                    this.memory.charge(MemoryHolder.UpstreamConnections, change * upstreamConnectionBytes);
                },
                this.contact,
                undefined,
                connectMs => this.zoneSpill.delays.record(this.directory.get(id)?.availabilityZone, connectMs),
            ));
    }

    budgetOf(service: string): SharedRetryBudget {
        return getOrCreate(this.budgetByService, service, () => SharedRetryBudget.create(() => this.settings, () => this.knownNodes));
    }

    /** Load that this node's own requests put on upstreams. */
    ownLoads(): RunnerLoads {
        return ownLoadsOf(this.trafficByUpstream);
    }

    /** Records the load that other nodes put on upstreams; those that are not listed have none. */
    applyPeerLoads(loads: RunnerLoads): void {
        applyPeerLoads(loads, this.trafficByUpstream, id => this.trafficOf(id));
    }

    private removeUpstream(id: string): void {
        this.poolByUpstream.get(id)?.close();
        this.poolByUpstream.delete(id);
        this.trafficByUpstream.delete(id);
        this.cache.forget(id);
        this.residency.forget(id);
    }
}
