import { ControllerLease } from "../../src/core/controllerLease";
import { LateLoads } from "../../src/core/lateLoads";
import { Gateway } from "../../src/forward/gateway";
import { Controller } from "../../src/placement/controller";
import { requestHeaderCodec } from "../../src/platform/requestHeaderCodec";
import type { EngineSpec, ModelSpec, ServiceRoute } from "../../src/types/servingConfig";
import { RouteKind } from "../../src/types/servingConfig";
import { UpstreamState } from "../../src/types/upstreamServer";
import type { Random } from "../../src/utils/random";
import { createRandom } from "../../src/utils/random";
import { platformTestSettings } from "./gatewayHarness";
import { MemoryPlatformStore } from "./memoryPlatformStore";
import type { StoredWeights } from "./simulatedPlatformRunner";
import { FaultyRunnerControl, SimulatedPlatformRunner } from "./simulatedPlatformRunner";

export const placementTestService = "desk";

const createModel = (name: string, memoryMb: number): ModelSpec => ({
    name,
    memoryMb,
    loadMs: 3_000,
    warmLoadMs: 300,
    diskLoadMs: 700,
    adapters: 10,
    adapterMemoryMb: 50,
});

export const placementTestEngine: EngineSpec = {
    slots: 32,
    kvTokens: 100_000,
    tokensPerEvent: 4,
    memoryMb: 200_000,
    adapterSlots: 4,
    loadsPerS: 2,
    models: new Map([...Array(14).keys()].map(index => [`m${index}`, createModel(`m${index}`, index % 4 === 0 ? 34_000 : 72_000)])),
};

/** A streaming route of the service, whose streams callers may take up. */
const resumableRoute: ServiceRoute = {
    name: "r",
    host: "shop.example",
    prefix: "/desk/",
    kind: RouteKind.Streaming,
    timeoutMs: 6_000,
    latencyObjectiveMs: 300,
    priority: 1,
    targets: [{ service: placementTestService, weight: 1 }],
    maxAttempts: 2,
    isResumable: true,
};

/** What the runners of a fixture state, and whether callers may take streams up. */
export interface PlacementFixtureOptions {
    readonly softwareVersionOf?: (index: number) => string | undefined;
    readonly isResumable?: boolean;
    readonly engine?: EngineSpec;
    readonly storedWeights?: StoredWeights;
}

/** A controller that holds the lease, and simulated runners that it places models on. */
export class PlacementFixture {
    readonly gateway: Gateway;
    readonly control: FaultyRunnerControl;
    readonly runners: ReadonlyMap<string, SimulatedPlatformRunner>;
    controller!: Controller;
    private readonly store: MemoryPlatformStore;
    private directoryVersion = 0;
    private holders = 0;
    private current = new AbortController();

    private constructor(
        random: Random,
        count: number,
        heldBy: (index: number) => readonly string[],
        private readonly options: PlacementFixtureOptions,
    ) {
        const { engine = placementTestEngine, storedWeights } = options;
        this.gateway = Gateway.create(platformTestSettings, requestHeaderCodec, random);
        this.gateway.applyConfig({
            version: 1,
            routes: options.isResumable ? [resumableRoute] : [],
            services: new Map([[placementTestService, { name: placementTestService, healthPath: "/h", maxConnections: 10, engine }]]),
            limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
        }, Buffer.from(""));
        this.runners = new Map(
            [...Array(count).keys()].map(index => [`r${index}`, SimulatedPlatformRunner.create(`r${index}`, engine, random, heldBy(index), storedWeights)]),
        );
        this.runners.forEach(runner => this.publish(runner));
        this.store = MemoryPlatformStore.create(random);
        this.store.lossShare = 0;
        this.control = FaultyRunnerControl.create(this.runners, random);
    }

    /** Starts the runners and the first controller. */
    static async start(
        seed: number,
        count = 6,
        heldBy = (index: number): readonly string[] => [`m${index}`],
        options: PlacementFixtureOptions = {},
    ): Promise<PlacementFixture> {
        const fixture = new PlacementFixture(createRandom(seed), count, heldBy, options);
        await fixture.startController();
        return fixture;
    }

    /** Kills the controller without a notice; another node takes over once the lease has expired. */
    async replaceController(): Promise<void> {
        this.current.abort();
        await this.startController();
    }

    /** Writes a runner's current state into the directory. */
    readonly publish = (runner: SimulatedPlatformRunner): void =>
        this.gateway.directory.apply({
            id: runner.id,
            version: ++this.directoryVersion,
            server: {
                id: runner.id,
                service: placementTestService,
                address: "127.0.0.1:1",
                availabilityZone: "a",
                softwareVersion: this.options.softwareVersionOf?.(Number(runner.id.slice(1))),
                slots: 32,
                state: UpstreamState.Ready,
                models: runner.report().models,
                inMemory: [],
                onDisk: [],
                bornAt: runner.bornAt,
                acceptedOrders: 0,
            },
        });

    /** Removes a runner's row from the directory. */
    readonly withdraw = ({ id }: SimulatedPlatformRunner): void => this.gateway.directory.apply({ id, version: ++this.directoryVersion });

    private async startController(): Promise<void> {
        const name = `n${this.holders++}`;
        const lateLoads = LateLoads.create();
        const lease = ControllerLease.create(
            this.store,
            { holder: name, boot: name, peerAddress: name },
            platformTestSettings,
            undefined,
            undefined,
            lateLoads,
        );
        this.controller = Controller.create(this.gateway, lease, this.control, lateLoads);
        this.current = new AbortController();
        await lease.tick();
        const renewal = setInterval(() => void lease.tick(), 500);
        this.current.signal.addEventListener("abort", () => clearInterval(renewal));
        this.controller.start(this.current.signal);
    }
}
