// Bundles the program into one CommonJS file; the path may be given.
import { build } from "esbuild";
import { rename } from "node:fs/promises";

/** Options that all bundles share. */
export const common = { bundle: true, platform: "node", target: "node20", format: "cjs", logLevel: "error", legalComments: "none" };
export const define = { "import.meta.url": "undefined" };

/** Bundles the program to a path. The file appears whole: a process that starts meanwhile must not read half of it. */
export const bundleProgram = async outfile => {
    const partial = `${outfile}.${process.pid}`;
    await build({
        ...common,
        define,
        entryPoints: ["src/cli/main.ts"],
        outfile: partial,
        minifySyntax: true,
        minifyWhitespace: true,
        keepNames: true,
    });
    await rename(partial, outfile);
};

if (process.argv[1]?.endsWith("bundleProgram.mjs")) {
    await bundleProgram(process.argv[2] ?? "build/jackdawtrail.cjs");
}
