import type { EngineSpec, ModelSpec } from "../../src/types/servingConfig";
import type { Random } from "../../src/utils/random";
import { pick } from "../../src/utils/random";
import type { MemoryPlatformStore } from "../fakes/memoryPlatformStore";
import type { InvariantChecker } from "./invariantChecker";
import { SoakUpstream } from "./soakUpstream";

const modelCount = 6;
const runnerCount = 4;
const instanceCount = 2;
const publishMs = 400;
const configName = { table: "op", part: "", key: "config" };

const createModel = (name: string): ModelSpec => ({
    name,
    memoryMb: 70_000,
    loadMs: 600,
    warmLoadMs: 100,
    diskLoadMs: 200,
    adapters: 3,
    adapterMemoryMb: 50,
});

const engine: EngineSpec = {
    slots: 16,
    kvTokens: 100_000,
    memoryMb: 200_000,
    adapterSlots: 3,
    loadsPerS: 5,
    models: new Map([...Array(modelCount).keys()].map(at => [`m${at}`, createModel(`m${at}`)])),
};

const engineOnWire = {
    slots: engine.slots,
    kvCapacity: engine.kvTokens,
    weightsMb: engine.memoryMb,
    adapterSlots: engine.adapterSlots,
    loadsPerS: engine.loadsPerS,
    models: [...engine.models.values()].map(({ name, memoryMb, loadMs, warmLoadMs, diskLoadMs, adapters, adapterMemoryMb }) => ({
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
].map(({ path, ...route }) => ({ name: path, host: "shop.example", prefix: path, timeoutMs: 3_000, sloMs: 500, ...route }));

/** The upstreams, with their rows in the directory, and the operators' configuration. */
export class SoakFleet {
    readonly models = [...engine.models.keys()];
    private upstreams: SoakUpstream[] = [];
    private readonly faults: string[] = [];
    private readonly timer: NodeJS.Timeout;
    private version = 0;
    private count = 0;

    private constructor(private readonly store: MemoryPlatformStore, private readonly witness: InvariantChecker, private readonly random: Random) {
        this.timer = setInterval(() => this.publish(), publishMs);
    }

    static async create(store: MemoryPlatformStore, witness: InvariantChecker, random: Random): Promise<SoakFleet> {
        const fleet = new SoakFleet(store, witness, random);
        for (let at = 0; at < runnerCount + instanceCount; at++) {
            await fleet.add(at < runnerCount ? "engines" : "desk");
        }
        fleet.putConfig();
        return fleet;
    }

    /** Writes a newer configuration. */
    putConfig(): void {
        const config = {
            version: this.version += 1 + Math.floor(this.random() * 3),
            routes: routesOnWire,
            services: [{ name: "desk", healthPath: "/h", maxConns: 100 }, { name: "engines", healthPath: "/h", maxConns: 100, engine: engineOnWire }],
            limits: { maxHeaderBytes: 8_192, maxBodyBytes: 100_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 },
        };
        this.store.put(configName, Buffer.from(JSON.stringify(config)));
    }

    /** One upstream that is ready, never the last of its service. */
    pickReady(): SoakUpstream | undefined {
        const ready = this.upstreams.filter(({ leavingSince, isGone }) => leavingSince === undefined && !isGone);
        const spare = ready.filter(({ service }) => ready.filter(other => other.service === service).length > 1);
        return pick(spare, this.random);
    }

    all(): readonly SoakUpstream[] {
        return this.upstreams;
    }

    async add(service: string): Promise<void> {
        const runner = await SoakUpstream.create(`u${++this.count}`, service, service === "engines" ? engine : undefined, this.witness, this.random);
        this.upstreams.push(runner);
        this.writeRow(runner);
    }

    writeRow(runner: SoakUpstream): void {
        this.store.put({ table: "servers", part: "", key: runner.id }, Buffer.from(JSON.stringify(runner.directoryRow)));
    }

    /** Ends an upstream and drops its row. */
    remove(runner: SoakUpstream): void {
        runner.crash();
        this.faults.push(...runner.simulatedRunner?.violations ?? []);
        this.upstreams = this.upstreams.filter(other => other !== runner);
        this.store.put({ table: "servers", part: "", key: runner.id }, undefined);
    }

    /** Orders that overcommitted a runner. */
    overcommitViolations(): readonly string[] {
        return [...this.faults, ...this.upstreams.flatMap(({ id, simulatedRunner: books }) => (books?.violations ?? []).map(fault => `${id}: ${fault}`))];
    }

    terminate(): void {
        clearInterval(this.timer);
        this.upstreams.forEach(upstream => upstream.crash());
    }

    /** Upstreams write what they hold, as heartbeats do. */
    private publish(): void {
        this.upstreams.filter(({ simulatedRunner: books, isGone }) => books && !isGone).forEach(runner => this.writeRow(runner));
    }
}
