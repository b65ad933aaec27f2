import type { ChildProcess } from "node:child_process";
import { spawn, spawnSync } from "node:child_process";
import { createWriteStream, writeFileSync } from "node:fs";
import { get } from "node:http";
import { join } from "node:path";
import { renderSettingsFile } from "../fakes/platformSettingsFile";
import { reservePort } from "../fakes/ports";
import { FaultProxy } from "./faultProxy";

const programPath = "build/jackdawtrail.cjs";
/** Time between SIGTERM and SIGKILL, s. */
const graceS = 6;
const probeTimeoutMs = 400;
/** A platform node as a process, with a proxy between it and the store. */
export class SoakNode {
    isReady = false;
    /** Until this time the answers of this node are not checked for lateness and 404, because of signals to it or faults of its links. */
    checksSuspendedUntil = Number.NEGATIVE_INFINITY;
    /** When it was last started, stopped or paused, and when its link to the store was last disturbed. */
    disturbedAt = Number.NEGATIVE_INFINITY;
    cutAt = Number.NEGATIVE_INFINITY;
    /** Until this time a fault that no operator planned, or its aftermath, excuses the loss of a request. */
    impairedUntil = Number.NEGATIVE_INFINITY;
    isStopRequested = false;
    /** When signals that operators send were sent. */
    readonly signalsAt: { readonly SIGTERM: number[]; readonly SIGHUP: number[]; } = { SIGTERM: [], SIGHUP: [] };
    private core: string | undefined;
    private child: ChildProcess | undefined;
    /** Exits that did not follow a signal to stop. */
    readonly unexpectedExits: string[] = [];

    private constructor(
        readonly name: string,
        readonly callerAddress: string,
        private readonly readyAddress: string,
        readonly peerAddress: string,
        private readonly metricsPort: number,
        readonly storeProxy: FaultProxy,
        private readonly logFolder: string,
    ) {}

    static async create(name: string, storePort: number, logFolder: string): Promise<SoakNode> {
        const [callerPort, readyPort, peerPort, metricsPort] = await Promise.all([reservePort(), reservePort(), reservePort(), reservePort()]);
        const storeProxy = await FaultProxy.create(storePort);
        return new SoakNode(name, `127.0.0.1:${callerPort}`, `127.0.0.1:${readyPort}`, `127.0.0.1:${peerPort}`, metricsPort, storeProxy, logFolder);
    }

    /** The holder that its orders name. */
    get holder(): string {
        return `${this.name}@127.0.0.1`;
    }

    get isRunning(): boolean {
        return this.child !== undefined;
    }

    start(seeds: readonly string[]): void {
        this.disturbedAt = performance.now();
        const file = join(this.logFolder, `${this.name}.toml`);
        const { name, callerAddress: front, readyAddress: ready, peerAddress: control, metricsPort, storeProxy } = this;
        writeFileSync(
            file,
            renderSettingsFile({ name, zone: "a", front, ready, control, metricsPort, seeds, storeAddress: storeProxy.address, graceS, budgetSlack: 50 }),
        );
        const command = [...this.core === undefined ? [] : ["taskset", "-c", this.core], process.execPath, programPath, "serve-platform"];
        const child = spawn(command[0]!, command.slice(1), {
            env: { ...process.env, JACKDAWTRAIL_NODE_FILE: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = createWriteStream(join(this.logFolder, `${this.name}.log`), { flags: "a" });
        child.stdout.pipe(log);
        child.stderr.pipe(log);
        this.child = child;
        this.isStopRequested = false;
        child.once("exit", (code, signal) => {
            if (this.child === child) {
                this.child = undefined;
                this.isReady = false;
                if (!this.isStopRequested) {
                    this.unexpectedExits.push(`${this.name} exited without a signal to stop (${code ?? signal})`);
                }
            }
        });
    }

    /** Binds it and its later processes to a core, if there is one. */
    bind(core: string | undefined): void {
        this.core = core;
        if (core !== undefined && this.child) {
            spawnSync("taskset", ["-a", "-c", "-p", core, String(this.child.pid)]);
        }
    }

    signal(signal: NodeJS.Signals): void {
        if ((signal === "SIGTERM" || signal === "SIGHUP") && this.child) {
            this.signalsAt[signal].push(performance.now());
        }
        if (signal !== "SIGHUP") {
            this.disturbedAt = performance.now();
        }
        this.isStopRequested ||= signal === "SIGTERM" || signal === "SIGKILL";
        this.child?.kill(signal);
    }

    /** Reads from the readiness endpoint whether callers should be sent here. */
    async probe(): Promise<void> {
        this.isReady = await new Promise(resolve => {
            const req = get(`http://${this.readyAddress}/`, { timeout: probeTimeoutMs }, res => {
                res.resume();
                resolve(res.statusCode === 200);
            });
            req.on("error", () => resolve(false));
            req.on("timeout", () => req.destroy());
        });
    }

    async terminate(): Promise<void> {
        const { child } = this;
        this.isStopRequested = true;
        if (child) {
            const ended = new Promise(resolve => child.once("exit", resolve));
            child.kill("SIGKILL");
            await ended;
        }
        this.storeProxy.close();
    }
}
