// Builds dist/jackdawtrail: a copy of the running Node.js executable with the bundled program injected as a single executable application.
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from "node:fs";
import { readFileSync } from "node:fs";
import { inject } from "postject";
import { bundleProgramWhole } from "./bundleProgram.mjs";

const sentinelFuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
mkdirSync("dist", { recursive: true });
mkdirSync("build", { recursive: true });
execFileSync(process.execPath, ["scripts/bundle.mjs", "--quiet"], { stdio: "inherit" });
await bundleProgramWhole("build/sea.cjs");
// With the code cache the program is not compiled before its first statement, which replaces the default actions of signals.
writeFileSync("build/sea.json", JSON.stringify({ main: "build/sea.cjs", output: "build/sea.blob", disableExperimentalSEAWarning: true, useCodeCache: true }));
execFileSync(process.execPath, ["--experimental-sea-config", "build/sea.json"], { stdio: "ignore" });
copyFileSync(process.execPath, "dist/jackdawtrail");
await inject("dist/jackdawtrail", "NODE_SEA_BLOB", readFileSync("build/sea.blob"), { sentinelFuse });
chmodSync("dist/jackdawtrail", 0o755);
console.log("built dist/jackdawtrail");
