// Bundles the program into two CommonJS files, by default build/jackdawtrail.cjs, the entry, and beside it the rest of the program, which the entry
// loads. Another path of the entry may be given as the argument.
import { build } from "esbuild";
import { createHash } from "node:crypto";
import { mkdir, readdir, rename, rm, stat, writeFile } from "node:fs/promises";
import { basename, dirname, join } from "node:path";

/** Build options that all bundles share. */
export const common = { bundle: true, platform: "node", target: "node20", format: "cjs", logLevel: "error", legalComments: "none" };
export const define = { "import.meta.url": "undefined" };
const minified = { minifySyntax: true, minifyWhitespace: true, keepNames: true };
/** Options of a file that loads another one: at once, by `require`. */
const entryOptions = { ...common, define, ...minified, entryPoints: ["src/cli/entry.ts"], supported: { "dynamic-import": false } };

/** Number of programs that are kept: the newest, and those of earlier builds for processes that have just read an earlier entry. */
const keptPrograms = 3;

/** Writes a temporary file and renames it, so that a process that starts meanwhile never reads a partial file. */
const writeWhole = async (file, contents) => {
    const temporaryFile = `${file}.${process.pid}`;
    await writeFile(temporaryFile, contents);
    await rename(temporaryFile, file);
};

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

const removeOldPrograms = async (folder, prefix) => {
    const files = (await readdir(folder)).filter(file => file.startsWith(prefix) && file.endsWith(".cjs")).map(file => join(folder, file));
    const programs = (await Promise.all(files.map(async file => ({ file, builtAt: await builtAtOf(file) })))).filter(({ builtAt }) => builtAt !== undefined);
    programs.sort((a, b) => b.builtAt - a.builtAt);
    await Promise.all(programs.slice(keptPrograms).map(({ file }) => rm(file, { force: true })));
};

/** Bundles the program to a path. The name of the second file has a hash of it, so that an entry always loads the program that it was built with. */
export const bundleProgram = async outfile => {
    const folder = dirname(outfile);
    const prefix = `${basename(outfile, ".cjs")}-`;
    await mkdir(folder, { recursive: true });
    const program = await buildText({ ...common, define, ...minified, entryPoints: ["src/cli/main.ts"] });
    const name = `${prefix}${createHash("sha256").update(program).digest("hex").slice(0, 16)}.cjs`;
    await writeWhole(join(folder, name), program);
    const loadProgram = { name: "program", setup: ({ onResolve }) => onResolve({ filter: /^\.\/main$/ }, () => ({ path: `./${name}`, external: true })) };
    await writeWhole(outfile, await buildText({ ...entryOptions, plugins: [loadProgram] }));
    await removeOldPrograms(folder, prefix);
};

/** Bundles the program into one file. */
export const bundleProgramWhole = outfile => build({ ...entryOptions, outfile });

if (process.argv[1]?.endsWith("bundleProgram.mjs")) {
    await bundleProgram(process.argv[2] ?? "build/jackdawtrail.cjs");
}
