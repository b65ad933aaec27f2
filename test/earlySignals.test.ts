import assert from "node:assert/strict";
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { constants, tmpdir } from "node:os";
import { join } from "node:path";
import { after, describe, it } from "node:test";
import { ExitCode } from "../src/cli/exitCode";
import { EventId } from "../src/types/eventId";
import { sleep } from "../src/utils/time";
import { HeldProgram } from "./fakes/heldProgram";
import { renderSettingsFile } from "./fakes/platformSettingsFile";
import { reservePort } from "./fakes/ports";
import { waitFor } from "./fakes/processes";

const entry = "build/jackdawtrail.cjs";
const pollMs = 1;
/** A process that is told to stop while it starts ends within this time. */
const promptMs = 2_000;
/** The grace period of the settings. */
const graceMs = 8_000;
/** The kernel has delivered a signal within this time. */
const deliveryMs = 50;

const stopSignals = ["SIGTERM", "SIGINT"] as const;
const otherSignals = ["SIGHUP", "SIGUSR2", "SIGALRM", "SIGVTALRM", "SIGIO", "SIGPWR", "SIGSTKFLT"] as const;

interface StartedProcess {
    readonly child: ChildProcess;
    /** Exit code, or the signal that ended it. */
    readonly ended: Promise<number | string>;
    hasLogged(event: EventId): boolean;
}

/** Guards against processes that a signal ends because it arrives before its handler. */
describe("signals during the start", () => {
    const folder = mkdtempSync(join(tmpdir(), "jackdawtrail-signals-"));
    const children: ChildProcess[] = [];
    after(() => {
        children.forEach(child => child.kill("SIGKILL"));
        rmSync(folder, { recursive: true });
    });

    const start = (args: readonly string[], env: Readonly<Record<string, string>>): StartedProcess => {
        const child = spawn(process.execPath, args, { env: { ...process.env, ...env } });
        children.push(child);
        let output = "";
        [child.stdout, child.stderr].forEach(stream => stream.on("data", (chunk: Buffer) => output += chunk.toString()));
        return {
            child,
            ended: new Promise(resolve => child.once("close", (code, signal) => resolve(code ?? signal ?? ""))),
            hasLogged: event => output.includes(`"event":${event},`),
        };
    };

    const preparePlatform = async (): Promise<{ readonly file: string; readonly ports: readonly number[]; readonly text: string; }> => {
        const file = join(mkdtempSync(join(folder, "node-")), "boot.toml");
        const ports = await Promise.all([reservePort(), reservePort(), reservePort(), reservePort()]);
        const [front, ready, control] = ports.map(port => `127.0.0.1:${port}`);
        const addresses = { front: front!, ready: ready!, control: control!, metricsPort: ports[3]! };
        const text = renderSettingsFile({
            name: "n1",
            zone: "a",
            ...addresses,
            seeds: [],
            storeAddress: "127.0.0.1:9",
            graceS: graceMs / 1_000,
            budgetSlack: 10,
        });
        return { file, ports, text };
    };

    const servingCommands: Readonly<Record<string, () => Promise<Readonly<Record<string, string>>>>> = {
        "serve-platform": async () => {
            const { file, text } = await preparePlatform();
            writeFileSync(file, text);
            return { JACKDAWTRAIL_NODE_FILE: file };
        },
        "serve": async () => ({
            JACKDAWTRAIL_LISTEN: `127.0.0.1:${await reservePort()}`,
            JACKDAWTRAIL_NODE_ID: "n1",
            JACKDAWTRAIL_AVAILABILITY_ZONE: "a",
            JACKDAWTRAIL_ADVERTISE_URL: "http://127.0.0.1:1",
            JACKDAWTRAIL_TABLE_URL: "http://127.0.0.1:1",
            JACKDAWTRAIL_OBJECT_STORE_URL: "http://127.0.0.1:1",
            JACKDAWTRAIL_VM_LIST_URL: "http://127.0.0.1:1",
            JACKDAWTRAIL_PEER_SECRET: "a-secret-of-the-stand-ins",
            JACKDAWTRAIL_OPERATOR_TOKEN: "a-secret-of-the-stand-ins",
        }),
    };

    /** Sends a signal while nothing of the program has been read, then lets the process go on. */
    const signalUnread = async (command: string, env: Readonly<Record<string, string>>, signal: NodeJS.Signals): Promise<StartedProcess> => {
        const held = HeldProgram.create(entry, mkdtempSync(join(folder, "held-")));
        const started = start([held.entry, command], env);
        const release = await held.whenHeld();
        started.child.kill(signal);
        await Promise.race([started.ended, sleep(deliveryMs)]);
        assert.equal(started.child.signalCode ?? undefined, undefined, "ended by the signal");
        await release();
        return started;
    };

    const endsPromptly = async ({ ended, hasLogged }: StartedProcess): Promise<void> => {
        assert.equal(await Promise.race([ended, sleep(promptMs).then(() => "still running")]), ExitCode.Ok);
        assert.equal(hasLogged(EventId.SignalBeforeStart), true);
        assert.equal(hasLogged(EventId.NodeStarted), false);
    };

    for (const [command, prepare] of Object.entries(servingCommands)) {
        for (const signal of stopSignals) {
            it(`end ${command} with exit code 0 while its program is being read: ${signal}`, async () => {
                await endsPromptly(await signalUnread(command, await prepare(), signal));
            });
        }
        for (const signal of otherSignals) {
            it(`do not end ${command} while its program is being read: ${signal}`, async () => {
                const { ended, hasLogged } = await signalUnread(command, await prepare(), signal);
                const started = waitFor("event 101", () => hasLogged(EventId.NodeStarted)).then(() => "started");
                assert.equal(await Promise.race([ended, started]), "started");
                await waitFor("a line for the signal", () => hasLogged(EventId.SignalBeforeStart) || hasLogged(EventId.SignalIgnored));
            });
        }
    }

    // Guards against a serving command that is not recognized by the entry, and so keeps the default actions for as long as it serves.
    for (const signal of [...stopSignals, "SIGHUP"] as const) {
        it(`are handled by serve-platform with an option before its name: ${signal}`, async () => {
            const { file, text } = await preparePlatform();
            writeFileSync(file, text);
            const { child, ended, hasLogged } = start([entry, "--settings-file", file, "serve-platform"], {});
            await waitFor("event 101", () => hasLogged(EventId.NodeStarted));
            child.kill(signal);
            await Promise.race([ended, sleep(deliveryMs)]);
            child.kill("SIGTERM");
            assert.equal(await Promise.race([ended, sleep(graceMs).then(() => "still running")]), ExitCode.Ok);
        });
    }

    it("end a command that does not serve", async () => {
        const held = HeldProgram.create(entry, mkdtempSync(join(folder, "held-")));
        const { child, ended } = start([held.entry, "events"], {});
        await held.whenHeld();
        child.kill("SIGTERM");
        assert.equal(await ended, "SIGTERM");
    });

    for (const signal of stopSignals) {
        it(`end serve-platform with exit code 0 while it waits for its settings file: ${signal}`, async () => {
            const { file } = await preparePlatform();
            const started = start([entry, "serve-platform"], { JACKDAWTRAIL_NODE_FILE: file });
            await waitFor("event 117", () => started.hasLogged(EventId.NodeStartRetried), undefined, pollMs);
            started.child.kill(signal);
            await endsPromptly(started);
        });
        for (const [index, name] of ["callers", "readiness", "peers", "metrics"].entries()) {
            it(`end serve-platform with exit code 0 while it waits for its port of ${name}: ${signal}`, async () => {
                const { file, ports, text } = await preparePlatform();
                writeFileSync(file, text);
                const other = createServer();
                await new Promise<void>(resolve => other.listen(ports[index], "127.0.0.1", () => resolve()));
                try {
                    const started = start([entry, "serve-platform"], { JACKDAWTRAIL_NODE_FILE: file });
                    await waitFor("event 117", () => started.hasLogged(EventId.NodeStartRetried), undefined, pollMs);
                    if (name === "metrics") {
                        // Callers do not wait for metrics: the node serves, and stops as it always does.
                        await waitFor("event 101", () => started.hasLogged(EventId.NodeStarted));
                        started.child.kill(signal);
                        assert.equal(await Promise.race([started.ended, sleep(graceMs).then(() => "still running")]), ExitCode.Ok);
                        return;
                    }
                    started.child.kill(signal);
                    await endsPromptly(started);
                }
                finally {
                    other.close();
                }
            });
        }
    }
});

/** Pairs of starts that are compared; of each kind the fastest counts. */
const startPairs = 20;
/** The entry may take so much more processor time than a file of one line. */
const maxExtraMs = 2;
const usPerMs = 1_000;
const handledSignals = JSON.stringify([...stopSignals, ...otherSignals]);
/**
 * Loaded before the entry: writes the processor time of the process from here until the last of the signals has a listener, in microseconds. The start of the
 * runtime is left out: it is the same for all files, and varies by far more than the bound on a machine whose processors others use.
 */
const meterText = `
    const spent = () => { const { user, system } = process.cpuUsage(); return user + system; };
    const missing = new Set(${handledSignals});
    const startedAt = spent();
    process.on("newListener", name => {
        if (missing.delete(name) && missing.size === 0) {
            const us = spent() - startedAt;
            process.stderr.write(us + "\\n");
        }
    });`;
const referenceText = `for (const s of ${handledSignals}) { process.on(s, () => {}); } setInterval(() => {}, 60_000);`;

/** Guards against a program that grows and so leaves signals their default actions for longer. */
describe("the handlers of signals", () => {
    const mask = [...stopSignals, ...otherSignals].reduce((bits, signal) => bits | 1n << BigInt(constants.signals[signal] - 1), 0n);

    /** Processor time from the start of the program until its handlers are set. */
    const timeToHandlers = async (meter: string, args: readonly string[]): Promise<number> => {
        const child = spawn(process.execPath, ["--require", meter, ...args], { stdio: ["ignore", "ignore", "pipe"] });
        let output = "";
        child.stderr.on("data", (chunk: Buffer) => output += chunk.toString());
        try {
            await waitFor("handlers", () => output.endsWith("\n"), undefined, pollMs);
            const [, caught] = /^SigCgt:\s*(\w+)$/m.exec(readFileSync(`/proc/${child.pid}/status`, "utf8"))!;
            assert.equal(BigInt(`0x${caught}`) & mask, mask, "the kernel knows no handler");
            return Number(output) / usPerMs;
        }
        finally {
            child.kill("SIGKILL");
        }
    };

    for (const command of ["serve-platform", "serve"]) {
        it(`are there as soon as those of a file of one line, before the program is read: ${command}`, async () => {
            const folder = mkdtempSync(join(tmpdir(), "jackdawtrail-signals-"));
            const [meter, reference] = [join(folder, "meter.cjs"), join(folder, "reference.cjs")];
            writeFileSync(meter, meterText);
            writeFileSync(reference, referenceText);
            const [ours, references]: [number[], number[]] = [[], []];
            for (let pair = 0; pair < startPairs; pair++) {
                const held = HeldProgram.create(entry, mkdtempSync(join(folder, "held-")));
                references.push(await timeToHandlers(meter, [reference]));
                // Nobody writes the program: a process that reads it first sets no handlers.
                ours.push(await timeToHandlers(meter, [held.entry, command]));
            }
            rmSync(folder, { recursive: true });
            const [ownMs, referenceMs] = [Math.min(...ours), Math.min(...references)];
            assert.ok(ownMs <= referenceMs + maxExtraMs, `${ownMs} ms, the reference ${referenceMs} ms`);
        });
    }
});
