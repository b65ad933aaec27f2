import assert from "node:assert/strict";
import type { SpawnSyncReturns } from "node:child_process";
import { execFileSync, spawn, spawnSync } from "node:child_process";
import { cpSync, mkdtempSync, readdirSync, readFileSync, rmSync, truncateSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { CodeCacheUse } from "../src/cli/codeCacheUse";
import { ExitCode } from "../src/cli/exitCode";
import { EventId } from "../src/types/eventId";
import { reserveAddresses, settingsOf } from "./fakes/nodeStart";
import { waitFor } from "./fakes/processes";

const flags = ["--max-old-space-size=160"];
/** A process that has not printed its version within this time hangs. */
const versionTimeoutMs = 30_000;

/** Changes the contents of a file. */
const change = (file: string, edit: (contents: Buffer) => Buffer): void => writeFileSync(file, edit(readFileSync(file)));

/** Flips bits at places that are spread over the contents. */
const flipBits = (count: number) => (contents: Buffer): Buffer => {
    for (let flipped = 0; flipped < count; flipped++) {
        const at = Math.floor(contents.length * (flipped + 0.5) / count);
        contents[at]! ^= 1 << flipped % 8;
    }
    return contents;
};
const zeroSecondHalf = (contents: Buffer): Buffer => contents.fill(0, Math.floor(contents.length / 2));
const cut = (contents: Buffer): Buffer => contents.subarray(0, Math.floor(contents.length / 3));

/** Changes what the last line of a code cache says about it. */
const changeRecord = (fields: Readonly<Record<string, string>>) => (contents: Buffer): Buffer => {
    const at = contents.lastIndexOf("\n") + 1;
    const record = JSON.parse(contents.toString("utf8", at)) as Readonly<Record<string, unknown>>;
    return Buffer.concat([contents.subarray(0, at), Buffer.from(JSON.stringify({ ...record, ...fields }))]);
};

describe("a program that was built with a code cache", () => {
    const folder = mkdtempSync(join(tmpdir(), "jackdawtrail-cache-"));
    const built = join(folder, "built");
    before(() => {
        execFileSync(process.execPath, ["scripts/bundleProgram.mjs", join(built, "jackdawtrail.cjs"), ...flags]);
    });
    after(() => rmSync(folder, { recursive: true }));

    interface Copy {
        readonly entry: string;
        readonly program: string;
        readonly cache: string;
    }
    const copyProgram = (): Copy => {
        const copy = mkdtempSync(join(folder, "copy-"));
        cpSync(built, copy, { recursive: true });
        const program = join(copy, readdirSync(copy).find(name => /^jackdawtrail-\w+\.cjs$/.test(name))!);
        return { entry: join(copy, "jackdawtrail.cjs"), program, cache: `${program}.cache` };
    };
    const run = (entry: string, args: readonly string[], runtimeFlags: readonly string[] = flags): SpawnSyncReturns<string> =>
        spawnSync(process.execPath, [...runtimeFlags, entry, ...args], { encoding: "utf8", timeout: versionTimeoutMs });

    interface CacheCase {
        readonly name: string;
        readonly use: CodeCacheUse;
        readonly spoil?: (cache: string) => void;
        readonly flags?: readonly string[];
    }
    const cacheCases: readonly CacheCase[] = [
        { name: "as built", use: CodeCacheUse.Used },
        { name: "second half zeroed", use: CodeCacheUse.Damaged, spoil: file => change(file, zeroSecondHalf) },
        { name: "200 flipped bits", use: CodeCacheUse.Damaged, spoil: file => change(file, flipBits(200)) },
        { name: "one flipped bit", use: CodeCacheUse.Damaged, spoil: file => change(file, flipBits(1)) },
        { name: "cut", use: CodeCacheUse.Damaged, spoil: file => change(file, cut) },
        { name: "empty", use: CodeCacheUse.Damaged, spoil: file => truncateSync(file) },
        { name: "missing", use: CodeCacheUse.Missing, spoil: file => rmSync(file) },
        {
            name: "not readable",
            use: CodeCacheUse.Unreadable,
            spoil: file => {
                rmSync(file);
                cpSync(built, file, { recursive: true });
            },
        },
        { name: "from another kind of processor", use: CodeCacheUse.OtherProcessor, spoil: file => change(file, changeRecord({ arch: "riscv64" })) },
        { name: "from another version of the runtime", use: CodeCacheUse.OtherRuntime, spoil: file => change(file, changeRecord({ node: "20.0.0" })) },
        { name: "from another program", use: CodeCacheUse.OtherProgram, spoil: file => change(file, changeRecord({ program: "0".repeat(64) })) },
        { name: "made with other flags", use: CodeCacheUse.Rejected, flags: [...flags, "--no-lazy"] },
    ];

    // Guards against a process that executes a code cache unchecked, and so ends by a signal at each start or runs code that nobody wrote.
    for (const { name, spoil, flags: runtimeFlags } of cacheCases) {
        it(`prints its version, code cache: ${name}`, () => {
            const { entry, cache } = copyProgram();
            spoil?.(cache);
            const { status, signal, stdout } = run(entry, ["--version"], runtimeFlags);
            assert.deepEqual({ ended: signal ?? status, version: stdout.trim() }, { ended: ExitCode.Ok, version: "0.1.0" });
        });
    }

    // Guards against a start of which nothing says whether its code cache was used, and against one that ends because of it.
    for (const { name, use, spoil, flags: runtimeFlags = flags } of cacheCases) {
        it(`serves, and its first line says what became of its code cache: ${name}`, async () => {
            const { entry, cache } = copyProgram();
            spoil?.(cache);
            const settings = join(mkdtempSync(join(folder, "settings-")), "boot.toml");
            writeFileSync(settings, settingsOf(await reserveAddresses()));
            const node = spawn(process.execPath, [...runtimeFlags, entry, "serve-platform"], { env: { ...process.env, JACKDAWTRAIL_NODE_FILE: settings } });
            let [output, ended]: [string, number | string | undefined] = ["", undefined];
            node.once("exit", (code, signal) => ended = code ?? signal ?? "unknown");
            node.stdout.on("data", (chunk: Buffer) => output += chunk.toString());
            try {
                await waitFor("event 101", () => output.includes(`"event":${EventId.NodeStarted},`) || ended !== undefined);
                assert.equal(ended, undefined);
                const { event, codeCache } = JSON.parse(output.split("\n")[0]!) as { readonly event: EventId; readonly codeCache: CodeCacheUse; };
                assert.deepEqual({ event, codeCache }, { event: EventId.ProgramLoaded, codeCache: use });
            }
            finally {
                node.kill("SIGKILL");
            }
        });
    }

    // Guards against a process that executes a program that is not the one its entry was built with, or ends without a line of ours.
    const programCases: readonly { readonly name: string; readonly spoil: (program: string) => void; }[] = [
        { name: "second half zeroed", spoil: file => change(file, zeroSecondHalf) },
        { name: "one flipped bit", spoil: file => change(file, flipBits(1)) },
        { name: "cut", spoil: file => change(file, cut) },
        { name: "empty", spoil: file => truncateSync(file) },
        { name: "missing", spoil: file => rmSync(file) },
    ];
    for (const command of ["--version", "serve-platform"]) {
        for (const { name, spoil } of programCases) {
            it(`ends ${command} with a line and an exit code of its own, program file: ${name}`, () => {
                const { entry, program } = copyProgram();
                spoil(program);
                const { status, signal, stdout, stderr } = run(entry, [command]);
                assert.deepEqual({ ended: signal ?? status, stdout }, { ended: ExitCode.ProgramUnusable, stdout: "" });
                const { event, level, detail } = JSON.parse(stderr) as Readonly<Record<string, string | number>>;
                assert.deepEqual({ event, level }, { event: EventId.ProgramUnusable, level: "error" });
                assert.ok(String(detail).includes(program), String(detail));
            });
        }
    }
});
