// Builds the system as the platform runs it: installs what the build needs, unless it is proved to be installed, and bundles the program. The arguments are those of
// bundleProgram.mjs. It uses only modules of Node.js, as nothing else may be installed yet.
import { spawnSync } from "node:child_process";
import { existsSync, mkdirSync, renameSync, rmSync } from "node:fs";
import { lockFolder } from "./buildLock.mjs";
import { findInstallFault, hashLockfile, removeInstallRecord, writeInstallRecord } from "./installRecord.mjs";

/** Runs a program; returns whether it succeeded. */
const run = (command, args) => {
    const { status, signal, error } = spawnSync(command, args, { stdio: "inherit" });
    if (status === 0) {
        return true;
    }
    console.error(`${command} ${args.join(" ")}: ${error?.message ?? signal ?? `exit code ${status}`}`);
    return false;
};

const installFolder = "node_modules";
const earlierInstall = "target/node_modules";

/** Moves the earlier install out of the way; returns whether there is one that can be put back. */
const putAside = () => {
    rmSync(earlierInstall, { recursive: true, force: true });
    if (!existsSync(installFolder)) {
        return false;
    }
    try {
        removeInstallRecord();
        mkdirSync("target", { recursive: true });
        renameSync(installFolder, earlierInstall);
        return true;
    }
    catch (err) {
        console.error(`the earlier install cannot be kept: ${err.message}`);
        return false;
    }
};

/** Installs; if npm fails, as without a network, the earlier install is put back. */
const install = async reason => {
    console.error(`installing: ${reason}`);
    // The lockfile may change while npm runs, which has read it by then.
    const lockfile = hashLockfile();
    const hasEarlier = putAside();
    if (run("npm", ["ci", "--silent", "--no-audit", "--no-fund"])) {
        await writeInstallRecord(lockfile);
    }
    else if (hasEarlier) {
        console.error("going on with the earlier install");
        rmSync(installFolder, { recursive: true, force: true });
        renameSync(earlierInstall, installFolder);
    }
    rmSync(earlierInstall, { recursive: true, force: true });
};
const bundle = () => run(process.execPath, ["scripts/bundleProgram.mjs", ...process.argv.slice(2)]);

await lockFolder(".");
const fault = findInstallFault();
if (fault) {
    await install(fault);
}
let isBuilt = bundle();
if (!isBuilt && !fault) {
    await install("the build failed on an earlier install");
    isBuilt = bundle();
}
// The lock, and connections of those who wait for it, would keep the process alive.
process.exit(isBuilt ? 0 : 1);
