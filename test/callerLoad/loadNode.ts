import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createWriteStream, readFileSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { join } from "node:path";
import { renderSettingsFile } from "../fakes/platformSettingsFile";
import { reservePort } from "../fakes/ports";

/** Program and options of the runtime, as in the deploy file. */
const command = [process.execPath, "--max-old-space-size=160", "build/jackdawtrail.cjs", "serve-platform"];
/** Time between SIGTERM and the end of the process. */
export const graceS = 8;
const probeTimeoutMs = 400;
/** A process that is still there so long after the grace is killed. */
const killMarginMs = 3_000;

/** A stop that was requested. Times are on the monotonic clock. */
export interface NodeStop {
    readonly requestedAt: number;
    endedAt?: number;
}

/** A node as a process that is started again after each stop. */
export class LoadNode {
    isReady = false;
    readonly stops: NodeStop[] = [];
    readonly unexpectedEnds: string[] = [];
    readonly logFile: string;
    private child: ChildProcess | undefined;

    private constructor(
        readonly name: string,
        readonly port: number,
        private readonly ports: readonly number[],
        private readonly storePort: number,
        private readonly folder: string,
        private readonly core: number | undefined,
    ) {
        this.logFile = join(folder, `${name}.log`);
    }

    /** Creates a node that is not started yet; it may be bound to one core. */
    static async create(name: string, storePort: number, folder: string, core: number | undefined): Promise<LoadNode> {
        const ports = await Promise.all([reservePort(), reservePort(), reservePort(), reservePort()]);
        return new LoadNode(name, ports[0], ports, storePort, folder, core);
    }

    get peerAddress(): string {
        return `127.0.0.1:${this.ports[2]}`;
    }

    start(seeds: readonly string[]): void {
        const [front, ready, control] = this.ports.map(port => `127.0.0.1:${port}`);
        const file = join(this.folder, `${this.name}.toml`);
        const fields = { name: this.name, zone: "a", front: front!, ready: ready!, control: control!, metricsPort: this.ports[3]!, seeds };
        writeFileSync(file, renderSettingsFile({ ...fields, storeAddress: `127.0.0.1:${this.storePort}`, graceS, budgetSlack: 50 }));
        const words = this.core === undefined ? command : ["taskset", "-c", String(this.core), ...command];
        const child = spawn(words[0]!, words.slice(1), { env: { ...process.env, JACKDAWTRAIL_NODE_FILE: file }, stdio: ["ignore", "pipe", "pipe"] });
        const log = createWriteStream(this.logFile, { flags: "a" });
        child.stdout.pipe(log);
        child.stderr.pipe(log);
        this.child = child;
        child.once("exit", (code, signal) => {
            this.isReady = false;
            const stop = this.stops.at(-1);
            if (stop && stop.endedAt === undefined) {
                stop.endedAt = performance.now();
            }
            else {
                this.unexpectedEnds.push(`${this.name} ended by itself (${code ?? signal})`);
            }
        });
    }

    /** Sends SIGTERM and waits until the process has ended; kills it if it stays. */
    async stop(): Promise<void> {
        const child = this.child!;
        const ended = new Promise(resolve => child.once("exit", resolve));
        this.stops.push({ requestedAt: performance.now() });
        child.kill("SIGTERM");
        const timer = setTimeout(() => child.kill("SIGKILL"), graceS * 1_000 + killMarginMs);
        await ended;
        clearTimeout(timer);
    }

    /** Ends the process at once. */
    kill(): void {
        this.stops.push({ requestedAt: performance.now() });
        this.child?.kill("SIGKILL");
    }

    /** Reads from the readiness endpoint whether callers should connect. */
    async probe(): Promise<void> {
        this.isReady = await new Promise(resolve => {
            const req = get(`http://127.0.0.1:${this.ports[1]}/`, { timeout: probeTimeoutMs }, res => {
                res.resume();
                resolve(res.statusCode === 200);
            });
            req.on("error", () => resolve(false));
            req.on("timeout", () => req.destroy());
        });
    }

    /** Lines of the log that name a request. */
    linesOf(id: string): readonly string[] {
        return readFileSync(this.logFile, "utf8").split("\n").filter(line => line.includes(`"${id}"`));
    }
}
