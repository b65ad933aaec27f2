// Writes the V8 code cache of a CommonJS program beside it. It is run with the flags that processes use, as V8 accepts a cache only under the same ones.
import { readFileSync, renameSync, writeFileSync } from "node:fs";
import nodeModule from "node:module";
import { dirname } from "node:path";
import { Script } from "node:vm";

const [filename] = process.argv.slice(2);
const script = new Script(nodeModule.wrap(readFileSync(filename, "utf8")), { filename });
const module = { exports: {} };
// Functions that run while the program is loaded are compiled by then, and are part of the cache.
script.runInThisContext().call(module.exports, module.exports, nodeModule.createRequire(filename), module, filename, dirname(filename));
const temporaryFile = `${filename}.cache.${process.pid}`;
writeFileSync(temporaryFile, script.createCachedData());
renameSync(temporaryFile, `${filename}.cache`);
