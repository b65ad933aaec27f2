import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { existsSync, mkdtempSync, rmSync, symlinkSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { promisify } from "node:util";

const run = promisify(execFile);

/** Guards against a build that fails because another one removes an old program at the same moment. */
describe("a build of the program", () => {
    const cases: readonly { readonly name: string; readonly builds: number; readonly vanished?: string; }[] = [
        // A link without a target is listed, and is gone when it is looked at.
        { name: "passes over an old program that vanishes", builds: 1, vanished: "jackdawtrail-0123456789abcdef.cjs" },
        { name: "succeeds beside others", builds: 4 },
    ];
    for (const { name, builds, vanished } of cases) {
        it(name, async () => {
            const folder = mkdtempSync(join(tmpdir(), "jackdawtrail-build-"));
            const outfile = join(folder, "jackdawtrail.cjs");
            try {
                if (vanished !== undefined) {
                    symlinkSync(join(folder, "none"), join(folder, vanished));
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
