// Bundles the program into one CommonJS file, by default build/jackdawtrail.cjs; another path may be given as the argument.
import { build } from "esbuild";
import { rename } from "node:fs/promises";

/** Build options that all bundles share. */
export const common = { bundle: true, platform: "node", target: "node20", format: "cjs", logLevel: "error", legalComments: "none" };
export const define = { "import.meta.url": "undefined" };

/**
 * Bundles the program to a path. Writes a temporary file and renames it, so that a process that starts meanwhile never reads a partial
 * bundle.
 */
export const bundleProgram = async outfile => {
    const temporaryFile = `${outfile}.${process.pid}`;
    await build({
        ...common,
        define,
        entryPoints: ["src/cli/main.ts"],
        outfile: temporaryFile,
        minifySyntax: true,
        minifyWhitespace: true,
        keepNames: true,
    });
    await rename(temporaryFile, outfile);
};

if (process.argv[1]?.endsWith("bundleProgram.mjs")) {
    await bundleProgram(process.argv[2] ?? "build/jackdawtrail.cjs");
}
