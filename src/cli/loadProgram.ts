import type * as Crypto from "node:crypto";
import { readFileSync } from "node:fs";
import nodeModule from "node:module";
import { dirname, join } from "node:path";
import { Script } from "node:vm";
import { readCodeCache } from "./codeCache";
import { CodeCacheUse } from "./codeCacheUse";

type ModuleFunction = (exports: object, require: NodeJS.Require, module: { exports: object; }, filename: string, dirname: string) => void;

/** A program that was loaded. */
export interface LoadedProgram {
    readonly exports: object;
    readonly codeCache: CodeCacheUse;
}

/**
 * Loads a CommonJS file beside the entry, which must have the given SHA-256. With its code cache the file is not compiled again, which takes a third of the processor
 * time of a start. Damaged code ends a process in unknown ways, so both files are compared with what the build wrote before any of them is executed.
 */
export const loadProgram = (name: string, sha256: string, entry: string): LoadedProgram => {
    const filename = join(dirname(entry), name);
    const source = readFileSync(filename);
    const require = nodeModule.createRequire(entry);
    // An import would load it before the program is read, which takes some milliseconds.
    const { createHash } = require("node:crypto") as typeof Crypto;
    const hash = (data: Buffer): string => createHash("sha256").update(data).digest("hex");
    if (hash(source) !== sha256) {
        throw new Error(`${filename} (${source.length} bytes) is not the file that was built`);
    }
    const cache = readCodeCache(filename, sha256, hash);
    const script = new Script(nodeModule.wrap(source.toString()), { filename, ...("data" in cache ? { cachedData: cache.data } : {}) });
    const module = { exports: {} };
    (script.runInThisContext() as ModuleFunction).call(module.exports, module.exports, require, module, filename, dirname(filename));
    const use = script.cachedDataRejected === true ? CodeCacheUse.Rejected : CodeCacheUse.Used;
    return { exports: module.exports, codeCache: "unusable" in cache ? cache.unusable : use };
};
