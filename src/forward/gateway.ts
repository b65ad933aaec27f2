import { PromptCacheTracker } from "../core/promptCacheTracker";
import { RequestQueue } from "../core/requestQueue";
import { ResidencyView } from "../core/residencyView";
import { RouteTable } from "../core/routeTable";
import { SharedRetryBudget } from "../core/sharedRetryBudget";
import { StoreFreshness } from "../core/storeFreshness";
import { UpstreamDirectory } from "../core/upstreamDirectory";
import { UpstreamTraffic } from "../core/upstreamTraffic";
import { EventId } from "../types/eventId";
import type { PlacementAnswer, PlacementRequest, RunnerLoads } from "../types/placement";
import type { PlatformNodeSettings } from "../types/platformNodeSettings";
import type { RequestHeaderCodec } from "../types/requestHeaderCodec";
import type { ServingConfig } from "../types/servingConfig";
import { emit } from "../utils/events";
import { getOrCreate } from "../utils/maps";
import type { Random } from "../utils/random";
import { UpstreamConnectionPool } from "./upstreamConnectionPool";

/** A configuration in force, with its index. */
interface ConfigInForce {
    readonly config: ServingConfig;
    readonly routes: RouteTable;
}

/** Sees to it that models and adapters are where requests need them. */
export interface Placement {
    place(req: PlacementRequest): Promise<PlacementAnswer>;
    /** Counts work that a request asks of an artifact's runners, in milliseconds of a runner's time. */
    countWork(artifact: string, workMs: number): void;
    /** Whether this node is the one that controls the runners. */
    readonly isController: boolean;
}

const noPlacement: Placement = { place: () => Promise.resolve({ readyInMs: 0, isComing: false }), countWork: () => {}, isController: false };

/** Nodes that share a budget until the controller tells how many there are. */
const assumedNodes = 12;

/** What the parts of a node that forwards requests share. */
export class Gateway {
    readonly directory = UpstreamDirectory.create();
    readonly cache = PromptCacheTracker.create();
    readonly residency = ResidencyView.create();
    readonly queue = RequestQueue.create();
    private inForce: ConfigInForce | undefined;
    private readonly traffics = new Map<string, UpstreamTraffic>();
    private readonly pools = new Map<string, UpstreamConnectionPool>();
    private readonly budgets = new Map<string, SharedRetryBudget>();
    /** Nodes that are thought to share the budgets. */
    knownNodes = assumedNodes;
    /** The configuration in force as it was published, for peers. */
    configBytes: Buffer | undefined;
    placement: Placement = noPlacement;
    /** Whether the controller's reading of the store covers this node's. */
    readonly freshness = StoreFreshness.create(() => this.placement.isController, () => Math.min(this.settings.drainMs, this.settings.applyMs));
    isStopping = false;
    /** When the node was told to stop, and when the process ends at the latest, on the monotonic clock. */
    stopRequestedAt = Number.POSITIVE_INFINITY;
    exitDeadlineAt = Number.POSITIVE_INFINITY;
    /** Requests that are read and not answered yet. */
    inProgress = 0;

    private constructor(public settings: PlatformNodeSettings, readonly wire: RequestHeaderCodec, readonly random: Random) {
        this.directory.observe(({ id, server, version }, before) => {
            emit(EventId.UpstreamChanged, {
                upstream: id,
                rowVersion: version,
                service: (server ?? before)?.service,
                state: server?.state ?? "gone",
                models: server?.models.map(({ name }) => name),
            });
            this.residency.onDirectoryChange(id);
            if (!server || (before && before.bornAt !== server.bornAt)) {
                this.forget(id);
            }
        });
    }

    /** Makes the shared state of a node that knows nothing yet. */
    static create(settings: PlatformNodeSettings, wire: RequestHeaderCodec, random: Random): Gateway {
        return new Gateway(settings, wire, random);
    }

    get config(): ServingConfig | undefined {
        return this.inForce?.config;
    }

    get routes(): RouteTable | undefined {
        return this.inForce?.routes;
    }

    /** Puts a configuration in force unless a newer one is; returns whether it did. */
    applyConfig(config: ServingConfig, bytes: Buffer): boolean {
        if (this.inForce && config.version <= this.inForce.config.version) {
            return false;
        }
        this.configBytes = bytes;
        this.inForce = { config, routes: RouteTable.create(config) };
        return true;
    }

    trafficOf(id: string): UpstreamTraffic {
        return getOrCreate(this.traffics, id, () => UpstreamTraffic.create());
    }

    connectionPoolOf(id: string, address: string): UpstreamConnectionPool {
        return getOrCreate(this.pools, id, () => UpstreamConnectionPool.create(address));
    }

    budgetOf(service: string): SharedRetryBudget {
        return getOrCreate(this.budgets, service, () => SharedRetryBudget.create(() => this.settings, () => this.knownNodes));
    }

    /** What this node's requests put on upstreams. */
    ownLoads(): RunnerLoads {
        const loads: Record<string, readonly [number, number]> = {};
        this.traffics.forEach(({ pendingPrefillMs, inFlight }, id) => {
            if (inFlight > 0) {
                loads[id] = [Math.round(pendingPrefillMs), inFlight];
            }
        });
        return loads;
    }

    private forget(id: string): void {
        this.pools.get(id)?.close();
        this.pools.delete(id);
        this.traffics.delete(id);
        this.cache.forget(id);
        this.residency.forget(id);
    }
}
