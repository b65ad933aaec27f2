import type { EngineSpec, ModelSpec } from "../../src/types/servingConfig";
import type { Random } from "../../src/utils/random";
import { pick } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import type { MemoryPlatformStore } from "../fakes/memoryPlatformStore";
import { BrittleTimes } from "./brittleTimes";
import { CrashingPrompts } from "./crashingPrompts";
import { endlessRoutes } from "./endlessAnswers";
import type { InvariantChecker } from "./invariantChecker";
import { NamedLimits } from "./namedLimits";
import { healthPath, SoakUpstream } from "./soakUpstream";

const modelCount = 6;
const runnerCount = 4;
const serviceInstanceCount = 2;
const directoryUpdateMs = 400;
/** The row of a runner that crashed on a prompt is removed after this time. */
const crashedRowMs = 1_000;
const configRowName = { table: "op", part: "", key: "config" };

const createModel = (name: string): ModelSpec => ({
    name,
    memoryMb: 70_000,
    loadMs: 600,
    warmLoadMs: 100,
    diskLoadMs: 200,
    adapters: 3,
    adapterMemoryMb: 50,
});

const engineSpec: EngineSpec = {
    slots: 16,
    kvTokens: 100_000,
    tokensPerEvent: 4,
    memoryMb: 200_000,
    adapterSlots: 3,
    loadsPerS: 5,
    models: new Map([...Array(modelCount).keys()].map(index => [`m${index}`, createModel(`m${index}`)])),
};

const engineOnWire = {
    slots: engineSpec.slots,
    kvCapacity: engineSpec.kvTokens,
    weightsMb: engineSpec.memoryMb,
    adapterSlots: engineSpec.adapterSlots,
    loadsPerS: engineSpec.loadsPerS,
    models: [...engineSpec.models.values()].map(({ name, memoryMb, loadMs, warmLoadMs, diskLoadMs, adapters, adapterMemoryMb }) => ({
        name,
        weightsMb: memoryMb,
        loadS: loadMs / 1_000,
        warmS: warmLoadMs / 1_000,
        diskS: diskLoadMs / 1_000,
        adapters,
        adapterSizeMb: adapterMemoryMb,
    })),
};

const routesOnWire = [
    { path: "/once/", routeKind: "non_idempotent", service: "desk", attempts: 2 },
    { path: "/again/", routeKind: "idempotent", service: "desk", attempts: 3 },
    { path: "/stream/", routeKind: "streaming", service: "engines", attempts: 2, gapAimMs: 600 },
    { path: "/resume/", routeKind: "streaming", service: "engines", attempts: 3, gapAimMs: 600, resumable: true },
    ...endlessRoutes,
].map(({ path, ...route }) => ({ name: path, host: "shop.example", prefix: path, timeoutMs: 3_000, sloMs: 500, ...route }));

/** The upstreams with their rows in the directory, and the operators' configuration; both are written to the store. */
export class SoakFleet {
    readonly models = [...engineSpec.models.keys()];
    private upstreams: SoakUpstream[] = [];
    private readonly removedUpstreamViolations: string[] = [];
    private readonly timer: NodeJS.Timeout;
    private configVersion = 0;
    private configBytes: Buffer | undefined;
    private createdCount = 0;
    private isTerminated = false;

    /** Prompt parts that crash the runners. */
    readonly limits = NamedLimits.create();
    readonly prompts = CrashingPrompts.create(runner => this.replaceCrashed(runner));
    readonly brittle = BrittleTimes.create(id => this.limits.nodeOf(id), upstream => this.replaceCrashed(upstream));

    private constructor(private readonly store: MemoryPlatformStore, readonly checker: InvariantChecker, readonly random: Random) {
        this.timer = setInterval(() => this.writeEngineRows(), directoryUpdateMs);
    }

    static async create(store: MemoryPlatformStore, checker: InvariantChecker, random: Random): Promise<SoakFleet> {
        const fleet = new SoakFleet(store, checker, random);
        for (let index = 0; index < runnerCount + serviceInstanceCount; index++) {
            await fleet.add(index < runnerCount ? "engines" : "desk");
        }
        fleet.putConfig();
        return fleet;
    }

    /** Writes the configuration with a higher version. */
    putConfig(): void {
        const config = {
            version: this.configVersion += 1 + Math.floor(this.random() * 3),
            routes: routesOnWire,
            services: [{ name: "desk", healthPath, maxConns: 100 }, { name: "endless", healthPath, maxConns: 100 }, {
                name: "engines",
                healthPath,
                maxConns: 100,
                engine: engineOnWire,
            }],
            limits: { maxHeaderBytes: 8_192, maxBodyBytes: 100_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 },
        };
        this.configBytes = Buffer.from(JSON.stringify(config));
        this.store.put(configRowName, this.configBytes);
    }

    /** Writes again what a restored store may lack, not all at one time; the rows of upstreams that have left expire. */
    writeAgain(withinMs: number, random: Random): void {
        setTimeout(() => this.store.put(configRowName, this.configBytes), withinMs * random());
        this.upstreams.forEach(upstream => setTimeout(() => !upstream.isGone && this.writeRow(upstream), withinMs * random()));
        for (const key of this.store.keysOf("servers").filter(id => !this.upstreams.some(upstream => upstream.id === id))) {
            setTimeout(() => this.store.put({ table: "servers", part: "", key }, undefined), withinMs);
        }
    }

    /** Picks a ready upstream that is not the last ready one of its service. */
    pickReady(): SoakUpstream | undefined {
        const ready = this.upstreams.filter(({ leavingSince, isGone, isWithdrawn }) => leavingSince === undefined && !isGone && !isWithdrawn);
        const removable = ready.filter(({ service }) => ready.filter(other => other.service === service).length > 1);
        return pick(removable, this.random);
    }

    all(): readonly SoakUpstream[] {
        return this.upstreams;
    }

    async add(service: string): Promise<void> {
        const upstream = await SoakUpstream.create(
            `u${++this.createdCount}`,
            service,
            service === "engines" ? engineSpec : undefined,
            this,
        );

        this.upstreams.push(upstream);
        this.writeRow(upstream);
    }

    writeRow(upstream: SoakUpstream): void {
        this.store.put({ table: "servers", part: "", key: upstream.id }, Buffer.from(JSON.stringify(upstream.directoryRow)));
    }

    /** Stops an upstream and deletes its row. */
    remove(upstream: SoakUpstream): void {
        if (!this.upstreams.includes(upstream)) {
            return;
        }
        upstream.crash();
        this.removedUpstreamViolations.push(...upstream.simulatedRunner?.violations ?? []);
        this.upstreams = this.upstreams.filter(other => other !== upstream);
        this.store.put({ table: "servers", part: "", key: upstream.id }, undefined);
    }

    /** Stops a runner that crashed; another one takes its place after its row has expired. */
    private async replaceCrashed(runner: SoakUpstream): Promise<void> {
        if (!runner.isGone) {
            runner.crash();
            await sleep(crashedRowMs);
            this.remove(runner);
            if (!this.isTerminated) {
                await this.add(runner.service);
            }
        }
    }

    /** Violations by orders that overcommitted a runner. */
    overcommitViolations(): readonly string[] {
        return [
            ...this.removedUpstreamViolations,
            ...this.upstreams.flatMap(({ id, simulatedRunner }) => (simulatedRunner?.violations ?? []).map(violation => `${id}: ${violation}`)),
        ];
    }

    terminate(): void {
        this.isTerminated = true;
        clearInterval(this.timer);
        this.upstreams.forEach(upstream => upstream.crash());
    }

    /** Writes the rows of the engine upstreams with their resident models, as heartbeats do. */
    private writeEngineRows(): void {
        this.upstreams.filter(({ simulatedRunner, isGone }) => simulatedRunner && !isGone).forEach(upstream => this.writeRow(upstream));
    }
}
