import assert from "node:assert/strict";
import type { ChildProcess } from "node:child_process";
import { execFileSync, spawn } from "node:child_process";
import { closeSync, mkdtempSync, rmSync, writeFileSync, writeSync } from "node:fs";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, describe, it } from "node:test";
import { ExitCode } from "../src/cli/exitCode";
import { sleep } from "../src/utils/time";
import { openForWriting } from "./fakes/heldProgram";
import { renderSettingsFile } from "./fakes/platformSettingsFile";
import { reservePort } from "./fakes/ports";
import { waitFor } from "./fakes/processes";

const program = "build/jackdawtrail.cjs";
const pollMs = 5;
const startTimeoutMs = 10_000;

interface NodeAddresses {
    readonly front: string;
    readonly ready: string;
    readonly control: string;
    readonly metrics: string;
}

const reserveAddresses = async (): Promise<NodeAddresses> => {
    const [front, ready, control, metrics] = (await Promise.all([reservePort(), reservePort(), reservePort(), reservePort()])).map(port => `127.0.0.1:${port}`);
    return { front: front!, ready: ready!, control: control!, metrics: metrics! };
};

const portOfAddress = (address: string): number => Number(address.split(":")[1]);

const settingsOf = ({ front, ready, control, metrics }: NodeAddresses): string =>
    renderSettingsFile({
        name: "n1",
        zone: "a",
        front,
        ready,
        control,
        metricsPort: portOfAddress(metrics),
        seeds: [],
        storeAddress: "127.0.0.1:9",
        graceS: 6,
        budgetSlack: 10,
    });

const isListening = (address: string): Promise<boolean> =>
    new Promise(resolve => {
        const socket = connect(portOfAddress(address), "127.0.0.1", () => {
            socket.destroy();
            resolve(true);
        });
        socket.on("error", () => resolve(false));
    });

describe("the start of a node on the platform", () => {
    const folder = mkdtempSync(join(tmpdir(), "jackdawtrail-start-"));
    const children: ChildProcess[] = [];
    const startNode = (file: string): { readonly child: ChildProcess; readonly ended: Promise<number | string | undefined>; } => {
        const child = spawn(process.execPath, [program, "serve-platform"], {
            env: { ...process.env, JACKDAWTRAIL_NODE_FILE: file },
            stdio: ["ignore", "ignore", "inherit"],
        });
        children.push(child);
        return { child, ended: new Promise(resolve => child.once("exit", (code, signal) => resolve(code ?? signal ?? undefined))) };
    };
    after(() => {
        children.forEach(child => child.kill("SIGKILL"));
        rmSync(folder, { recursive: true });
    });

    const ports: readonly (keyof NodeAddresses)[] = ["front", "ready", "control", "metrics"];
    for (const taken of ports) {
        it(`ends without answering the load balancer if the ${taken} port is taken`, async () => {
            const addresses = await reserveAddresses();
            const other = createServer();
            await new Promise<void>(resolve => other.listen(portOfAddress(addresses[taken]), "127.0.0.1", () => resolve()));
            const file = join(folder, `${taken}.toml`);
            writeFileSync(file, settingsOf(addresses));
            const { ended } = startNode(file);
            let hasAnswered = false;
            let hasEnded = false;
            void ended.then(() => hasEnded = true);
            const check = async (): Promise<boolean> => {
                hasAnswered ||= taken !== "ready" && await isListening(addresses.ready);
                return hasEnded;
            };
            await waitFor("exit", check, startTimeoutMs, pollMs);
            other.close();
            assert.equal(await ended, ExitCode.Failed);
            assert.equal(hasAnswered, false);
        });
    }

    interface LateCase {
        readonly name: string;
        /** Prepares what is wrong when the process starts; returns a function that mends it. */
        readonly spoil: (file: string, addresses: NodeAddresses) => Promise<() => void>;
    }
    const lateCases: readonly LateCase[] = [
        {
            name: "settings file is missing",
            spoil: (file, addresses) => Promise.resolve(() => writeFileSync(file, settingsOf(addresses))),
        },
        {
            name: "settings file is half written",
            spoil: (file, addresses) => {
                const text = settingsOf(addresses);
                writeFileSync(file, text.slice(0, text.length / 2));
                return Promise.resolve(() => writeFileSync(file, text));
            },
        },
        {
            name: "port for callers is still held by the predecessor",
            spoil: async (file, addresses) => {
                writeFileSync(file, settingsOf(addresses));
                const other = createServer();
                await new Promise<void>(resolve => other.listen(portOfAddress(addresses.front), "127.0.0.1", () => resolve()));
                return () => other.close();
            },
        },
    ];
    for (const [index, { name, spoil }] of lateCases.entries()) {
        it(`waits if the ${name} at first`, async () => {
            const addresses = await reserveAddresses();
            const file = join(folder, `spoiled-${index}.toml`);
            const mend = await spoil(file, addresses);
            const { ended } = startNode(file);
            const outcome = Promise.race([ended, waitFor("readiness endpoint", () => isListening(addresses.ready), startTimeoutMs).then(() => "started")]);
            await sleep(1_000);
            mend();
            assert.equal(await outcome, "started");
        });
    }

    it("survives SIGHUP before it has read its settings", async () => {
        const addresses = await reserveAddresses();
        const file = join(folder, "late.toml");
        execFileSync("mkfifo", [file]);
        const { child, ended } = startNode(file);
        let pipe: number | undefined;
        const check = (): boolean => {
            pipe = openForWriting(file);
            return pipe !== undefined;
        };
        await waitFor("reader of the settings", check, startTimeoutMs, pollMs);
        child.kill("SIGHUP");
        await sleep(50);
        rmSync(file);
        writeFileSync(file, settingsOf(addresses));
        writeSync(pipe!, settingsOf(addresses));
        closeSync(pipe!);
        const outcome = await Promise.race([ended, waitFor("readiness endpoint", () => isListening(addresses.ready)).then(() => "started")]);
        assert.equal(outcome, "started");
    });
});
