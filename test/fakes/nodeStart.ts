import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { get } from "node:http";
import type { Server } from "node:net";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { renderSettingsFile } from "./platformSettingsFile";
import { reservePort } from "./ports";

const program = "build/jackdawtrail.cjs";
/** Pause between two looks at what a starting process does. */
export const startPollMs = 5;
/** A process of the runtime has loaded its program within this time, also beside other work. */
export const startTimeoutMs = 10_000;
/** A condition lasts longer than the 2 s and 3 s after which the start was given up. */
export const heldMs = 5_000;
/** The load balancer checks once a second: the first check after the condition has passed finds the node. */
export const startedWithinMs = 1_000;

/** The addresses of a node. */
export interface NodeAddresses {
    readonly front: string;
    readonly ready: string;
    readonly control: string;
    readonly metrics: string;
}

/** Reserves ports for a node. */
export const reserveAddresses = async (): Promise<NodeAddresses> => {
    const [front, ready, control, metrics] = (await Promise.all([reservePort(), reservePort(), reservePort(), reservePort()])).map(port => `127.0.0.1:${port}`);
    return { front: front!, ready: ready!, control: control!, metrics: metrics! };
};

const portOfAddress = (address: string): number => Number(address.split(":")[1]);

/** The text of a settings file with these addresses; by default the store is away. */
export const settingsOf = ({ front, ready, control, metrics }: NodeAddresses, storeAddress = "127.0.0.1:9", name = "n1"): string =>
    renderSettingsFile({
        name,
        zone: "a",
        front,
        ready,
        control,
        metricsPort: portOfAddress(metrics),
        seeds: [],
        storeAddress,
        graceS: 6,
        budgetSlack: 10,
    });

/** Whether connections to an address are accepted. */
export const isListening = (address: string): Promise<boolean> =>
    new Promise(resolve => {
        const socket = connect(portOfAddress(address), "127.0.0.1", () => {
            socket.destroy();
            resolve(true);
        });
        socket.on("error", () => resolve(false));
    });

/** Whether a server answers a request, with any status. */
export const isAnswering = (address: string): Promise<boolean> =>
    new Promise(resolve => {
        const req = get({ host: "127.0.0.1", port: portOfAddress(address), agent: false }, res => {
            res.resume();
            resolve(true);
        });
        req.on("error", () => resolve(false));
    });

/** A process of a node. */
export interface StartedNode {
    readonly child: ChildProcess;
    /** Its exit code or the signal that ended it. */
    readonly ended: Promise<number | string | undefined>;
    /** What it has logged so far. */
    readonly log: () => string;
}

/** The processes, files and taken ports of tests of the start. */
export class NodeStarts {
    readonly folder = mkdtempSync(join(tmpdir(), "jackdawtrail-start-"));
    private readonly children: ChildProcess[] = [];
    private readonly others: Server[] = [];

    static create(): NodeStarts {
        return new NodeStarts();
    }

    /** Starts a node with a settings file and options of the runtime. */
    start(file: string, runtimeOptions: readonly string[] = []): StartedNode {
        const child = spawn(process.execPath, [...runtimeOptions, program, "serve-platform"], {
            env: { ...process.env, JACKDAWTRAIL_NODE_FILE: file },
            stdio: ["ignore", "pipe", "inherit"],
        });
        this.children.push(child);
        let text = "";
        child.stdout.on("data", data => text += data);
        return { child, ended: new Promise(resolve => child.once("close", (code, signal) => resolve(code ?? signal ?? undefined))), log: () => text };
    }

    /** Takes a port; returns a function that frees it. */
    async takePort(address: string): Promise<() => void> {
        const other = createServer(socket => socket.destroy());
        await new Promise<void>(resolve => other.listen(portOfAddress(address), "127.0.0.1", () => resolve()));
        this.others.push(other);
        return () => void other.close();
    }

    /** Ends what is left. */
    close(): void {
        this.children.forEach(child => child.kill("SIGKILL"));
        this.others.forEach(other => other.close());
        rmSync(this.folder, { recursive: true });
    }
}
