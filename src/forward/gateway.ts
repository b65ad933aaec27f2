import { PromptCache } from "../core/promptCache";
import { RequestQueue } from "../core/requestQueue";
import { ResidencyView } from "../core/residencyView";
import { RouteTable } from "../core/routeTable";
import { ServiceBudget } from "../core/serviceBudget";
import { StoreFreshness } from "../core/storeFreshness";
import { UpstreamDirectory } from "../core/upstreamDirectory";
import { UpstreamTraffic } from "../core/upstreamTraffic";
import { EventId } from "../types/eventId";
import type { NodeSettings } from "../types/nodeSettings";
import type { PlacementAnswer, PlacementRequest, RunnerLoads } from "../types/placement";
import type { RequestWire } from "../types/requestWire";
import type { ServingConfig } from "../types/servingConfig";
import { emit } from "../utils/events";
import { getOrCreate } from "../utils/maps";
import type { Random } from "../utils/random";
import { UpstreamConnections } from "./upstreamConnections";

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
    readonly cache = PromptCache.create();
    readonly residency = ResidencyView.create();
    readonly queue = RequestQueue.create();
    private inForce: ConfigInForce | undefined;
    private readonly traffics = new Map<string, UpstreamTraffic>();
    private readonly pools = new Map<string, UpstreamConnections>();
    private readonly budgets = new Map<string, ServiceBudget>();
    /** Nodes that are thought to share the budgets. */
    knownNodes = assumedNodes;
    /** The configuration in force as it was published, for peers. */
    configBytes: Buffer | undefined;
    placement: Placement = noPlacement;
    /** Whether the controller's reading of the store covers this node's. */
    readonly freshness = StoreFreshness.create(() => this.placement.isController, () => Math.min(this.settings.drainMs, this.settings.applyMs));
    isStopping = false;
    /** When the node was told to stop, and when the process ends at the latest, on the monotonic clock. */
    stoppingAt = Number.POSITIVE_INFINITY;
    endsAt = Number.POSITIVE_INFINITY;
    /** Requests that are read and not answered yet. */
    inProgress = 0;

    private constructor(public settings: NodeSettings, readonly wire: RequestWire, readonly random: Random) {
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
    static create(settings: NodeSettings, wire: RequestWire, random: Random): Gateway {
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

    connectionsOf(id: string, address: string): UpstreamConnections {
        return getOrCreate(this.pools, id, () => UpstreamConnections.create(address));
    }

    budgetOf(service: string): ServiceBudget {
        return getOrCreate(this.budgets, service, () => ServiceBudget.create(() => this.settings, () => this.knownNodes));
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
