// Bundles the program, the demo, the stand-ins and the library into single CommonJS files.
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
    console.log("bundled build/jackdawtrail.cjs, build/fakes.cjs, build/demo.cjs, dist/index.cjs");
}
