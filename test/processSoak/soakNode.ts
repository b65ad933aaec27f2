import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createWriteStream, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { join } from "node:path";
import { renderSettingsFile } from "../fakes/platformSettingsFile";
import { FaultProxy } from "./faultProxy";

const program = "build/jackdawtrail.cjs";
/** Time between SIGTERM and SIGKILL, s. */
const graceS = 6;
const probeTimeoutMs = 400;
/** Ports below those that the system gives to outgoing connections; soaks that run at the same time use blocks of their own. */
const firstPort = 12_000;
const blockPorts = 400;
const blocks = 50;

let nextPort = firstPort + process.pid % blocks * blockPorts;

/** A free port that no outgoing connection can take while its node is down. */
const findLowPort = async (): Promise<number> => {
    for (;;) {
        const port = nextPort++;
        const isFree = await new Promise<boolean>(resolve => {
            const server = createServer().once("error", () => resolve(false));
            server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
        });
        if (isFree) {
            return port;
        }
    }
};

/** A node as a process of its own, with a proxy between it and the store. */
export class SoakNode {
    isReady = false;
    /** Until when what happens here is excused: signals, and faults of its line to the store. */
    checksSuspendedUntil = Number.NEGATIVE_INFINITY;
    isStopRequested = false;
    private child: ChildProcess | undefined;
    /** Ends that nobody asked for. */
    readonly unexpectedExits: string[] = [];

    private constructor(
        readonly name: string,
        readonly callerAddress: string,
        private readonly ready: string,
        readonly peerAddress: string,
        private readonly metricsPort: number,
        readonly storeProxy: FaultProxy,
        private readonly folder: string,
    ) {}

    static async create(name: string, storePort: number, folder: string): Promise<SoakNode> {
        const front = await findLowPort();
        const [ready, control, metrics] = [await findLowPort(), await findLowPort(), await findLowPort()];
        const store = await FaultProxy.create(storePort);
        return new SoakNode(name, `127.0.0.1:${front}`, `127.0.0.1:${ready}`, `127.0.0.1:${control}`, metrics, store, folder);
    }

    /** Name under which it gives orders. */
    get holder(): string {
        return `${this.name}@127.0.0.1`;
    }

    get isRunning(): boolean {
        return this.child !== undefined;
    }

    start(seeds: readonly string[]): void {
        const file = join(this.folder, `${this.name}.toml`);
        const { name, callerAddress: front, ready, peerAddress: control, metricsPort, storeProxy: store } = this;
        writeFileSync(
            file,
            renderSettingsFile({ name, zone: "a", front, ready, control, metricsPort, seeds, storeAddress: store.address, graceS, budgetSlack: 50 }),
        );
        const child = spawn(process.execPath, [program, "serve-platform"], {
            env: { ...process.env, JACKDAWTRAIL_NODE_FILE: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = createWriteStream(join(this.folder, `${this.name}.log`), { flags: "a" });
        child.stdout.pipe(log);
        child.stderr.pipe(log);
        this.child = child;
        this.isStopRequested = false;
        child.once("exit", (code, signal) => {
            if (this.child === child) {
                this.child = undefined;
                this.isReady = false;
                if (!this.isStopRequested) {
                    this.unexpectedExits.push(`${this.name} ended by itself with ${code ?? signal}`);
                }
            }
        });
    }

    signal(signal: NodeJS.Signals): void {
        this.isStopRequested ||= signal === "SIGTERM" || signal === "SIGKILL";
        this.child?.kill(signal);
    }

    /** Asks whether callers should be sent here. */
    async probe(): Promise<void> {
        this.isReady = await new Promise(resolve => {
            const req = get(`http://${this.ready}/`, { timeout: probeTimeoutMs }, res => {
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
