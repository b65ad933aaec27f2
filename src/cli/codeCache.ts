import { readFileSync } from "node:fs";
import { CodeCacheUse } from "./codeCacheUse";

/** Appended to the path of a program for its code cache, which the build writes. */
const cacheSuffix = ".cache";

/** The last line of the file of a code cache, behind what is given to V8 (scripts/writeCodeCache.mjs). */
interface CodeCacheRecord {
    /** Of what is given to V8. */
    readonly sha256: string;
    /** SHA-256 of the program that it was made from. */
    readonly program: string;
    readonly arch: string;
    readonly node: string;
    readonly v8: string;
}

/** The code cache of a program, or why there is none to use. */
export type CodeCache = { readonly data: Buffer; } | { readonly unusable: CodeCacheUse; };

/** Returns the SHA-256 of data, as hexadecimal text. */
type HashData = (data: Buffer) => string;

const parseRecord = (line: string): Partial<CodeCacheRecord> | undefined => {
    try {
        return JSON.parse(line) as Partial<CodeCacheRecord> | undefined;
    }
    catch {
        // The start logs that the cache is damaged.
        return undefined;
    }
};

/** Why a code cache must not be given to V8, which compares its own version and flags, but neither the contents nor the processor. */
const faultOf = (data: Buffer, record: Partial<CodeCacheRecord> | undefined, program: string, hash: HashData): CodeCacheUse | undefined => {
    if (record?.sha256 !== hash(data)) {
        return CodeCacheUse.Damaged;
    }
    const { node, v8 } = process.versions;
    const checks: readonly (readonly [boolean, CodeCacheUse])[] = [
        [record.program === program, CodeCacheUse.OtherProgram],
        [record.arch === process.arch, CodeCacheUse.OtherProcessor],
        [record.node === node && record.v8 === v8, CodeCacheUse.OtherRuntime],
    ];
    return checks.find(([holds]) => !holds)?.[1];
};

/** Reads the code cache of a program whose SHA-256 is given. */
export const readCodeCache = (filename: string, program: string, hash: HashData): CodeCache => {
    let contents: Buffer;
    try {
        contents = readFileSync(filename + cacheSuffix);
    }
    catch (err) {
        return { unusable: (err as NodeJS.ErrnoException).code === "ENOENT" ? CodeCacheUse.Missing : CodeCacheUse.Unreadable };
    }
    const end = contents.lastIndexOf("\n");
    const data = contents.subarray(0, Math.max(end, 0));
    const unusable = faultOf(data, parseRecord(contents.toString("utf8", end + 1)), program, hash);
    return unusable === undefined ? { data } : { unusable };
};
