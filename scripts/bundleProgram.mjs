// Bundles the program into one CommonJS file; the path may be given.
import { build } from "esbuild";

/** Options that all bundles share. */
export const common = { bundle: true, platform: "node", target: "node20", format: "cjs", logLevel: "error", legalComments: "none" };
export const define = { "import.meta.url": "undefined" };

/** Bundles the program to a path. */
export const bundleProgram = outfile =>
    build({
        ...common,
        define,
        entryPoints: ["src/cli/main.ts"],
        outfile,
        minifySyntax: true,
        minifyWhitespace: true,
        keepNames: true,
    });

if (process.argv[1]?.endsWith("bundleProgram.mjs")) {
    await bundleProgram(process.argv[2] ?? "build/jackdawtrail.cjs");
}
