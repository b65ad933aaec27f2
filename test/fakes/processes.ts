import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { sleep } from "../../src/utils/time";

const startTimeoutMs = 15_000;

/** Child processes of a demonstration or test, which are stopped together. */
export class Processes {
    readonly children = new Map<string, ChildProcess>();

    static create(): Processes {
        return new Processes();
    }

    /** Starts a stand-in and returns its URL. */
    async startFake(name: string, kind: string, setup: object = {}): Promise<string> {
        const child = this.spawn(name, ["build/fakes.cjs", kind, "0", JSON.stringify(setup)], {});
        const lines = createInterface({ input: child.stdout! });
        const port = await new Promise<string>((resolve, reject) => {
            lines.once("line", resolve);
            child.once("exit", code => reject(new Error(`${name} exited with code ${code} before it was listening`)));
        });
        return `http://127.0.0.1:${port}`;
    }

    /** Starts a standalone node. It is ready once /readyz answers 200. */
    startNode(name: string, env: Readonly<Record<string, string>>): ChildProcess {
        const child = this.spawn(name, ["build/jackdawtrail.cjs", "serve"], env);
        child.stdout!.resume();
        return child;
    }

    /** Runs a command of the program and waits until it exits. */
    run(args: readonly string[], env: Readonly<Record<string, string>>, input = ""): Promise<{ code: number; stdout: string; stderr: string; }> {
        const child = spawn(process.execPath, ["build/jackdawtrail.cjs", ...args], { env: { ...process.env, ...env } });
        let stdout = "";
        let stderr = "";
        child.stdout.on("data", data => stdout += data);
        child.stderr.on("data", data => stderr += data);
        child.stdin.end(input);
        return new Promise(resolve => child.once("close", code => resolve({ code: code ?? -1, stdout, stderr })));
    }

    /** Signals a child and waits until it exits; returns its exit code. */
    async stop(name: string, signal: NodeJS.Signals = "SIGTERM"): Promise<number | undefined> {
        const child = this.children.get(name)!;
        if (typeof child.exitCode !== "number" && typeof child.signalCode !== "string") {
            const ended = new Promise(resolve => child.once("exit", resolve));
            child.kill(signal);
            await ended;
        }
        return child.exitCode ?? undefined;
    }

    /** Kills all children. */
    async stopAll(): Promise<void> {
        await Promise.all([...this.children.keys()].map(name => this.stop(name, "SIGKILL")));
    }

    private spawn(name: string, args: readonly string[], env: Readonly<Record<string, string>>): ChildProcess {
        const child = spawn(process.execPath, args, {
            env: { ...process.env, ...env },
            stdio: ["ignore", "pipe", process.env.SHOW_LOGS ? "inherit" : "ignore"],
        });
        this.children.set(name, child);
        return child;
    }
}

/** Interval between two checks of a condition. */
const defaultPollMs = 50;

/** Waits until a condition is true; a condition that throws counts as false. */
export const waitFor = async (
    description: string,
    condition: () => boolean | Promise<boolean>,
    timeoutMs = startTimeoutMs,
    pollMs = defaultPollMs,
): Promise<void> => {
    const deadlineAt = performance.now() + timeoutMs;
    const check = async (): Promise<boolean> => condition();
    while (!await check().catch(() => false)) {
        if (performance.now() > deadlineAt) {
            throw new Error(`${description} did not happen within ${timeoutMs} ms`);
        }
        await sleep(pollMs);
    }
};
