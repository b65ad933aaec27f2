import assert from "node:assert/strict";
import { execFile, execFileSync } from "node:child_process";
import { appendFileSync, cpSync, existsSync, mkdirSync, mkdtempSync, readFileSync, rmSync, truncateSync, utimesSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { delimiter, join } from "node:path";
import { after, describe, it } from "node:test";

const build = /^build = "(.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"))![1]!;

/** Stands in for npm: installs two packages. The file `npm-ends` in the root makes it end after the first, and `lockfile-changes` stands for a change of the lockfile once it was read. */
const npm = `#!${process.execPath}
const { appendFileSync, existsSync, mkdirSync, rmSync, rmdirSync, writeFileSync } = require("node:fs");
appendFileSync("installs", process.argv.slice(2).join(" ") + "\\n");
try { mkdirSync("busy"); } catch { appendFileSync("overlaps", "install\\n"); }
rmSync("node_modules", { recursive: true, force: true });
if (existsSync("lockfile-changes")) { rmSync("lockfile-changes"); writeFileSync("package-lock.json", "{ }"); }
mkdirSync("node_modules/esbuild", { recursive: true });
writeFileSync("node_modules/esbuild/bin", process.platform + "-" + process.arch);
setTimeout(() => {
    if (existsSync("npm-ends")) { rmdirSync("busy"); process.kill(process.pid, "SIGKILL"); return; }
    mkdirSync("node_modules/zod");
    writeFileSync("node_modules/zod/index.js", "whole");
    rmSync("busy", { recursive: true, force: true });
}, 200);
`;
/** Stands in for the bundler: needs both packages as they are installed. The file `node_modules/.fails` or `bundle-fails` makes it fail. */
const bundler = `import { appendFileSync, existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
appendFileSync("bundles", "1\\n");
if (existsSync("busy")) { appendFileSync("overlaps", "bundle\\n"); }
const sound = readFileSync("node_modules/esbuild/bin", "utf8") === process.platform + "-" + process.arch && readFileSync("node_modules/zod/index.js", "utf8") === "whole";
if (!sound || existsSync("node_modules/.fails") || existsSync("bundle-fails")) { console.error("not bundled"); process.exit(1); }
mkdirSync("target", { recursive: true });
writeFileSync(process.argv[2], "program");
`;

/** Loaded before the build's own code: what some systems refuse. */
const refusals: Readonly<Record<string, string>> = {
    "sockets without a file": `require("node:net").Server.prototype.listen = function () {
    process.nextTick(() => this.emit("error", Object.assign(new Error("refused"), { code: "EPERM" })));
    return this;
};`,
    "syncing files and folders": `require("node:fs").promises.open(process.execPath).then(handle => {
    Object.getPrototypeOf(handle).sync = () => Promise.reject(Object.assign(new Error("refused"), { code: "EINVAL" }));
    return handle.close();
});`,
    "renaming folders": `require("node:fs").renameSync = () => {
    throw Object.assign(new Error("refused"), { code: "EXDEV" });
};`,
};

/** Guards against a build that takes an install for whole by the time of its folder, fails, and fails each time from then on. */
describe("a build of the system", () => {
    const folder = mkdtempSync(join(tmpdir(), "jackdawtrail-install-"));
    const tools = join(folder, "bin");
    mkdirSync(tools);
    writeFileSync(join(tools, "npm"), npm, { mode: 0o755 });
    after(() => rmSync(folder, { recursive: true }));

    const createCheckout = (): string => {
        const root = mkdtempSync(join(folder, "checkout-"));
        cpSync("scripts", join(root, "scripts"), { recursive: true });
        writeFileSync(join(root, "scripts", "bundleProgram.mjs"), bundler);
        writeFileSync(join(root, "package-lock.json"), "{}");
        return root;
    };
    const environment = { ...process.env, PATH: [tools, process.env.PATH].join(delimiter) };
    const runBuild = (root: string, env: NodeJS.ProcessEnv = environment): Promise<number> =>
        new Promise(resolve => execFile("sh", ["-c", build], { cwd: root, env }, err => resolve(err ? Number(err.code ?? -1) : 0)));
    const linesOf = (root: string, name: string): number => existsSync(join(root, name)) ? readFileSync(join(root, name), "utf8").split("\n").length - 1 : 0;
    const changeRecord = (root: string, fields: Readonly<Record<string, string>>): void => {
        const file = join(root, "node_modules", ".install.json");
        writeFileSync(file, JSON.stringify({ ...JSON.parse(readFileSync(file, "utf8")) as object, ...fields }));
    };
    const install = (root: string): void => void execFileSync("npm", ["ci"], { cwd: root, env: environment });
    /** Ends an install after its first package; its folder is newer than the lockfile. */
    const endInstall = (root: string): void => {
        writeFileSync(join(root, "npm-ends"), "");
        assert.throws(() => install(root));
        rmSync(join(root, "npm-ends"));
    };

    interface InstallCase {
        readonly name: string;
        /** Whether the system was built before. */
        readonly isBuilt: boolean;
        readonly prepare?: (root: string) => void;
        /** Builds that run at once; one by default. */
        readonly builds?: number;
        readonly installs: number;
        readonly fails?: true;
    }
    const cases: readonly InstallCase[] = [
        { name: "installs in a clean checkout", isBuilt: false, installs: 1 },
        { name: "does not install again", isBuilt: true, installs: 0 },
        {
            name: "does not install again what npm was run for by hand and recorded",
            isBuilt: false,
            installs: 0,
            prepare: root => {
                install(root);
                execFileSync(process.execPath, ["scripts/installRecord.mjs"], { cwd: root });
                rmSync(join(root, "installs"));
            },
        },
        {
            name: "does not install again for a lockfile that is newer and the same",
            isBuilt: true,
            installs: 0,
            prepare: root => writeFileSync(join(root, "package-lock.json"), "{}"),
        },
        { name: "installs after an install that was ended", isBuilt: false, installs: 2, prepare: endInstall },
        { name: "installs after an install that was ended later", isBuilt: true, installs: 2, prepare: endInstall },
        { name: "installs again if a file is missing", isBuilt: true, installs: 1, prepare: root => rmSync(join(root, "node_modules", "zod", "index.js")) },
        {
            name: "installs again if a file is cut",
            isBuilt: true,
            installs: 1,
            prepare: root => truncateSync(join(root, "node_modules", "zod", "index.js"), 2),
        },
        {
            name: "installs again if a file is another kind of processor's",
            isBuilt: true,
            installs: 1,
            prepare: root => writeFileSync(join(root, "node_modules", "esbuild", "bin"), "linux-riscv64"),
        },
        {
            name: "installs again what was installed on another kind of processor",
            isBuilt: true,
            installs: 1,
            prepare: root => changeRecord(root, { arch: "riscv64" }),
        },
        {
            name: "installs again what was installed with another version of the runtime",
            isBuilt: true,
            installs: 1,
            prepare: root => changeRecord(root, { node: "v20.0.0" }),
        },
        {
            name: "installs again if its record is cut",
            isBuilt: true,
            installs: 1,
            prepare: root => truncateSync(join(root, "node_modules", ".install.json"), 20),
        },
        {
            name: "installs again for another lockfile, also an older one",
            isBuilt: true,
            installs: 1,
            prepare: root => {
                appendFileSync(join(root, "package-lock.json"), "\n");
                utimesSync(join(root, "package-lock.json"), 1, 1);
            },
        },
        {
            name: "installs again once if it fails on an earlier install",
            isBuilt: true,
            installs: 1,
            prepare: root => writeFileSync(join(root, "node_modules", ".fails"), ""),
        },
        {
            name: "fails if it fails on its own install",
            isBuilt: false,
            installs: 1,
            fails: true,
            prepare: root => writeFileSync(join(root, "bundle-fails"), ""),
        },
        { name: "fails if the install fails", isBuilt: false, installs: 1, fails: true, prepare: root => writeFileSync(join(root, "npm-ends"), "") },
        { name: "waits for others that install", isBuilt: false, installs: 1, builds: 3 },
        {
            name: "waits for others that install again",
            isBuilt: true,
            installs: 1,
            builds: 3,
            prepare: root => rmSync(join(root, "node_modules", "zod", "index.js")),
        },
    ];
    for (const { name, isBuilt, prepare, builds = 1, installs, fails = false } of cases) {
        it(name, async () => {
            const root = createCheckout();
            if (isBuilt) {
                assert.equal(await runBuild(root), 0);
                ["installs", "bundles"].forEach(file => rmSync(join(root, file)));
                rmSync(join(root, "target"), { recursive: true });
            }
            prepare?.(root);
            const codes = await Promise.all([...Array(builds).keys()].map(() => runBuild(root)));
            const hasProgram = existsSync(join(root, "target", "jackdawtrail.cjs"));
            assert.deepEqual(
                { fails: codes.map(code => code !== 0), hasProgram, installs: linesOf(root, "installs"), overlaps: linesOf(root, "overlaps") },
                { fails: codes.map(() => fails), hasProgram: !fails, installs, overlaps: 0 },
            );
            if (!fails) {
                assert.equal(await runBuild(root), 0, "the next build");
                assert.equal(linesOf(root, "installs"), installs, "installs of the next build");
            }
        });
    }

    // Guards against packages of an earlier lockfile that are taken for those of the present one.
    it("installs again for a lockfile that changed while it was installed", async () => {
        const root = createCheckout();
        writeFileSync(join(root, "lockfile-changes"), "");
        const codes = [await runBuild(root), await runBuild(root)];
        assert.deepEqual({ codes, installs: linesOf(root, "installs") }, { codes: [0, 0], installs: 2 });
    });

    // Guards against a build that cannot heal after one that was ended.
    it("heals after a build whose install was ended", async () => {
        const root = createCheckout();
        writeFileSync(join(root, "npm-ends"), "");
        assert.notEqual(await runBuild(root), 0);
        rmSync(join(root, "npm-ends"));
        assert.equal(await runBuild(root), 0);
    });

    // Guards against a build that destroys an install that works, as it has no record, where npm cannot install.
    it("goes on with an earlier install if npm fails, and installs again later", async () => {
        const root = createCheckout();
        assert.equal(await runBuild(root), 0);
        rmSync(join(root, "node_modules", ".install.json"));
        rmSync(join(root, "target"), { recursive: true });
        writeFileSync(join(root, "npm-ends"), "");
        assert.equal(await runBuild(root), 0);
        assert.ok(existsSync(join(root, "target", "jackdawtrail.cjs")));
        rmSync(join(root, "npm-ends"));
        assert.equal(await runBuild(root), 0);
        assert.ok(existsSync(join(root, "node_modules", ".install.json")));
        assert.equal(linesOf(root, "installs"), 3);
    });

    // Guards against a build that fails for want of something that only protects it.
    for (const [name, module] of Object.entries(refusals)) {
        it(`succeeds where the system refuses ${name}`, async () => {
            const root = createCheckout();
            const file = join(root, "refusal.cjs");
            writeFileSync(file, module);
            const env = { ...environment, NODE_OPTIONS: `--require ${file}` };
            assert.equal(await runBuild(root, env), 0, "in a clean checkout");
            rmSync(join(root, "node_modules", ".install.json"));
            rmSync(join(root, "target"), { recursive: true });
            assert.equal(await runBuild(root, env), 0, "on an earlier install without a record");
            assert.ok(existsSync(join(root, "target", "jackdawtrail.cjs")));
        });
    }
});
