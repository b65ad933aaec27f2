// Bundles the program into two CommonJS files, by default build/jackdawtrail.cjs, the entry, and beside it the rest of the program, which the entry
// loads. Another path of the entry may be given as the first argument; the others are the flags of Node.js that processes are run with, for the code cache.
import { build } from "esbuild";
import { execFile } from "node:child_process";
import { createHash } from "node:crypto";
import { mkdir, readdir, rm, stat } from "node:fs/promises";
import { basename, dirname, join, resolve } from "node:path";
import { promisify } from "node:util";
import { writeWhole } from "./writeWhole.mjs";

/** Build options that all bundles share. */
export const common = {
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    logLevel: "error",
    legalComments: "none",
    alias: { "node:assert": resolve("scripts/plainAssert.cjs") },
};
export const define = { "import.meta.url": "undefined" };
const minified = { minifySyntax: true, minifyWhitespace: true, keepNames: true };
/** Options of a file that loads another one: at once, by `require`. */
const entryOptions = { ...common, define, ...minified, entryPoints: ["src/cli/entry.ts"], supported: { "dynamic-import": false } };

/** Number of programs that are kept: the newest, and those of earlier builds for processes that have just read an earlier entry. */
const keptPrograms = 3;

const buildText = async options => {
    const { outputFiles: [{ contents }] } = await build({ ...options, write: false });
    return contents;
};

/** When a program was built; undefined if another build has removed it. */
const builtAtOf = async file => {
    try {
        return (await stat(file)).mtimeMs;
    }
    catch (err) {
        if (err.code === "ENOENT") {
            return undefined;
        }
        throw err;
    }
};

/** Removes a file. The build is complete without that, so an error is only reported. */
const removeFile = async file => {
    try {
        await rm(file, { force: true });
    }
    catch (err) {
        console.error(`an old file is not removed: ${err.message}`);
    }
};

const removeOldPrograms = async (folder, prefix) => {
    const files = (await readdir(folder)).filter(file => file.startsWith(prefix) && file.endsWith(".cjs")).map(file => join(folder, file));
    const programs = (await Promise.all(files.map(async file => ({ file, builtAt: await builtAtOf(file) })))).filter(({ builtAt }) => builtAt !== undefined);
    programs.sort((a, b) => b.builtAt - a.builtAt);
    await Promise.all(programs.slice(keptPrograms).flatMap(({ file }) => [removeFile(file), removeFile(`${file}.cache`)]));
};

/** Makes the entry load the program by its name and SHA-256, with its code cache. */
const loaderOf = (name, sha256) => ({
    name: "program",
    setup: ({ onResolve, onLoad }) => {
        onResolve({ filter: /^\.\/main$/ }, () => ({ path: name, namespace: "program" }));
        onLoad({ filter: /./, namespace: "program" }, () => ({
            contents: `import { loadProgram } from "./loadProgram";
                const { exports: { run: start }, codeCache } = loadProgram("./${name}", "${sha256}", __filename);
                export const run = signals => start(signals, codeCache);`,
            resolveDir: "src/cli",
        }));
    },
});

/** Bundles the program to a path, with a code cache for processes that run with the given flags. The name of the second file has a hash of it, so that an entry always loads the program that it was built with. */
export const bundleProgram = async (outfile, flags = []) => {
    const folder = dirname(outfile);
    const prefix = `${basename(outfile, ".cjs")}-`;
    await mkdir(folder, { recursive: true });
    const program = await buildText({ ...common, define, ...minified, entryPoints: ["src/cli/main.ts"] });
    const sha256 = createHash("sha256").update(program).digest("hex");
    const name = `${prefix}${sha256.slice(0, 16)}.cjs`;
    await writeWhole(join(folder, name), program);
    if (flags.length > 0) {
        await promisify(execFile)(process.execPath, [...flags, "scripts/writeCodeCache.mjs", resolve(folder, name)]);
    }
    // The entry comes last: what it names is whole on the disk by then.
    await writeWhole(outfile, await buildText({ ...entryOptions, plugins: [loaderOf(name, sha256)] }));
    await removeOldPrograms(folder, prefix);
};

/** Bundles the program into one file. */
export const bundleProgramWhole = outfile => build({ ...entryOptions, outfile });

if (process.argv[1]?.endsWith("bundleProgram.mjs")) {
    const [outfile = "build/jackdawtrail.cjs", ...flags] = process.argv.slice(2);
    await bundleProgram(outfile, flags);
}
