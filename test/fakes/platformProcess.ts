import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import type { Server } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createRandom } from "../../src/utils/random";
import { portOf } from "./jsonServer";
import { MemoryPlatformStore } from "./memoryPlatformStore";
import type { SettingsFileFields } from "./platformSettingsFile";
import { renderSettingsFile } from "./platformSettingsFile";
import { servePlatformStore } from "./platformStoreServer";
import { reservePort } from "./ports";

/** Options of the runtime in the deploy file. */
const nodeOptions = /^run = "node (.*?)\s*target\//m.exec(readFileSync("deploy/system.toml", "utf8"))![1]!.split(" ");

const kilobytesPerMb = 1_024;

const configDefaults = { limits: { maxHeaderBytes: 4_096, maxBodyBytes: 10_000, headerTimeoutMs: 3_000, idleTimeoutMs: 9_000 } };

const startStore = async (): Promise<readonly [MemoryPlatformStore, Server]> => {
    const store = MemoryPlatformStore.create(createRandom(1));
    store.lossShare = 0;
    return [store, await servePlatformStore(store)];
};

const putConfiguration = (store: MemoryPlatformStore, config: object): void =>
    store.put({ table: "op", part: "", key: "config" }, Buffer.from(JSON.stringify({ version: 3, ...configDefaults, ...config })));

/** One node of the platform as a process, with a store of its own or that of an earlier node. */
export class PlatformProcess {
    private constructor(
        readonly process: ChildProcess,
        readonly front: string,
        readonly control: string,
        readonly store: MemoryPlatformStore,
        private readonly server: Server,
        private readonly folder: string,
        private readonly metrics: string,
        private readonly settings: SettingsFileFields,
    ) {}

    /** Starts a node with a configuration and the rows of its upstreams; beside `first`, it shares that node's store and configuration. It may be limited to a number of descriptors, load modules before the program, have another address on loopback, state a memory limit, run with further options of the runtime, and be limited to an address space. */
    static async start(
        graceS: number,
        config: object,
        upstreams: Readonly<Record<string, object>>,
        first?: PlatformProcess,
        maxDescriptors?: number,
        modules: readonly string[] = [],
        ip = "127.0.0.1",
        zone = "a",
        memoryMb?: number,
        runtimeOptions: readonly string[] = [],
        maxAddressMb?: number,
    ): Promise<PlatformProcess> {
        const folder = mkdtempSync(join(tmpdir(), "jackdawtrail-"));
        const file = join(folder, "boot.toml");
        const [store, server] = first ? [first.store, first.server] : await startStore();
        const ports = await Promise.all([reservePort(), reservePort(), reservePort(), reservePort()]);
        const [front, ready, control] = ports.map(port => `${ip}:${port}`);
        const storeAddress = `127.0.0.1:${portOf(server)}`;
        const settings: SettingsFileFields = {
            name: first ? `n2-${ports[0]}` : "n1",
            ip,
            zone,
            front: front!,
            ready: ready!,
            control: control!,
            metricsPort: ports[3]!,
            seeds: first ? [first.control] : [],
            storeAddress,
            graceS,
            budgetSlack: 10,
            maxDescriptors,
            memoryMb,
        };
        writeFileSync(file, renderSettingsFile(settings));
        if (!first) {
            putConfiguration(store, config);
        }
        const options = [...nodeOptions, ...runtimeOptions, ...modules.flatMap(module => ["--require", module])];
        const command = [process.execPath, ...options, "build/jackdawtrail.cjs", "serve-platform"];
        const limits = [
            ...maxDescriptors === undefined ? [] : [`ulimit -n ${maxDescriptors}`],
            ...maxAddressMb === undefined ? [] : [`ulimit -v ${maxAddressMb * kilobytesPerMb}`],
        ];
        const limited = limits.length === 0 ? command : ["sh", "-c", [...limits, `exec "$0" "$@"`].join("; "), ...command];
        const node = spawn(limited[0]!, limited.slice(1), {
            env: { ...process.env, JACKDAWTRAIL_NODE_FILE: file },
            stdio: "ignore",
        });
        const started = new PlatformProcess(node, front!, control!, store, server, folder, `${ip}:${ports[3]}`, settings);
        Object.entries(upstreams).forEach(([id, row]) => started.putUpstream(id, row));
        return started;
    }

    /** Writes the settings file again with changes, or only the first half of it. */
    changeSettings(changes: Partial<SettingsFileFields>, isHalfWritten = false): void {
        const text = renderSettingsFile({ ...this.settings, ...changes });
        writeFileSync(join(this.folder, "boot.toml"), isHalfWritten ? text.slice(0, text.length / 2) : text);
    }

    /** Writes a configuration, which is of version 3 unless it says otherwise. */
    putConfiguration(config: object): void {
        putConfiguration(this.store, config);
    }

    /** Writes the row of an upstream. */
    putUpstream(id: string, row: object): void {
        this.store.put({ table: "servers", part: "", key: id }, Buffer.from(JSON.stringify({ zone: "a", state: "ready", born: 1, ...row })));
    }

    get metricsPort(): number {
        return this.settings.metricsPort;
    }

    get ready(): string {
        return this.settings.ready;
    }

    get metricsAddress(): string {
        return this.metrics;
    }

    /** Largest memory that the process has occupied so far, in MB. */
    get peakMemoryMb(): number {
        return this.readStatusMb("VmHWM");
    }

    /** Memory that the process occupies now, in MB. */
    get memoryMb(): number {
        return this.readStatusMb("VmRSS");
    }

    /** The present value of a gauge. */
    async gauge(name: string): Promise<number> {
        const text = await (await fetch(`http://${this.metrics}/`)).text();
        return Number(new RegExp(`^${name} (.*)$`, "m").exec(text)?.[1]);
    }

    private readStatusMb(field: string): number {
        const [, kilobytes] = new RegExp(`^${field}:\\s+(\\d+) kB$`, "m").exec(readFileSync(`/proc/${this.process.pid}/status`, "utf8"))!;
        return Number(kilobytes) / kilobytesPerMb;
    }

    /** Ends the process and the store. */
    close(): void {
        this.process.kill("SIGKILL");
        this.server.closeAllConnections();
        this.server.close();
        rmSync(this.folder, { recursive: true });
    }
}
