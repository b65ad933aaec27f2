import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { existsSync, mkdirSync, mkdtempSync, rmSync, symlinkSync, utimesSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { promisify } from "node:util";

const run = promisify(execFile);

/** More old programs than a build keeps. */
const oldPrograms = 5;

/** Guards against a build that fails, with its program in place, because an old one vanishes at the same moment or cannot be removed. */
describe("a build of the program", () => {
    const cases: readonly { readonly name: string; readonly builds: number; readonly vanished?: string; readonly unremovable?: true; }[] = [
        // A link without a target is listed, and is gone when it is looked at.
        { name: "passes over an old program that vanishes", builds: 1, vanished: "jackdawtrail-0123456789abcdef.cjs" },
        // A folder is not removed as a file is.
        { name: "passes over old programs that cannot be removed", builds: 1, unremovable: true },
        { name: "succeeds beside others", builds: 4 },
    ];
    for (const { name, builds, vanished, unremovable } of cases) {
        it(name, async () => {
            const folder = mkdtempSync(join(tmpdir(), "jackdawtrail-build-"));
            const outfile = join(folder, "jackdawtrail.cjs");
            try {
                if (vanished !== undefined) {
                    symlinkSync(join(folder, "none"), join(folder, vanished));
                }
                for (let index = 0; unremovable && index < oldPrograms; index++) {
                    const program = join(folder, `jackdawtrail-${index}.cjs`);
                    mkdirSync(program);
                    utimesSync(program, 1, 1);
                }
                await Promise.all([...Array(builds).keys()].map(() => run(process.execPath, ["scripts/bundleProgram.mjs", outfile])));
                assert.ok(existsSync(outfile));
            }
            finally {
                rmSync(folder, { recursive: true });
            }
        });
    }
});
