// Writes the V8 code cache of a CommonJS program beside it. It is run with the flags that processes use, as V8 accepts a cache only under the same ones.
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import nodeModule from "node:module";
import { dirname } from "node:path";
import { Script } from "node:vm";
import { writeWhole } from "./writeWhole.mjs";

const sha256Of = data => createHash("sha256").update(data).digest("hex");

const [filename] = process.argv.slice(2);
const source = readFileSync(filename);
const script = new Script(nodeModule.wrap(source.toString()), { filename });
const module = { exports: {} };
// Functions that run while the program is loaded are compiled by then, and are part of the cache.
script.runInThisContext().call(module.exports, module.exports, nodeModule.createRequire(filename), module, filename, dirname(filename));
const data = script.createCachedData();
const { node, v8 } = process.versions;
// A process uses the cache only if this last line holds (src/cli/codeCache.ts).
const record = { sha256: sha256Of(data), program: sha256Of(source), arch: process.arch, node, v8 };
await writeWhole(`${filename}.cache`, Buffer.concat([data, Buffer.from(`\n${JSON.stringify(record)}`)]));
