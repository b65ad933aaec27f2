// Bundles the program, the fakes, the demo and the library into one file each: ES module for the demo, CommonJS for the others.
import { build } from "esbuild";
import { bundleProgram, common, define } from "./bundleProgram.mjs";

await Promise.all([
    bundleProgram("build/jackdawtrail.cjs"),
    build({ ...common, define, entryPoints: ["test/fakes/main.ts"], outfile: "build/fakes.cjs" }),
    build({
        ...common,
        format: "esm",
        banner: { js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);' },
        entryPoints: ["demo/demo.ts"],
        outfile: "build/demo.mjs",
    }),
    build({ ...common, define, entryPoints: ["src/index.ts"], outfile: "dist/index.cjs" }),
]);
if (!process.argv.includes("--quiet")) {
    console.log("bundled build/jackdawtrail.cjs, build/fakes.cjs, build/demo.mjs, dist/index.cjs");
}
