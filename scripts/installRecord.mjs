// Records what an install put into node_modules, so that a build can tell whether it is still there as a whole. Run by npm after each install.
import { createHash } from "node:crypto";
import { readdirSync, readFileSync, readlinkSync, rmSync } from "node:fs";
import { join } from "node:path";
import { writeWhole } from "./writeWhole.mjs";

const folder = "node_modules";
const recordFile = join(folder, ".install.json");

/** Adds the names and contents of a folder to a hash, in a fixed order. */
const addFolder = (hash, path, entries) => {
    entries.sort((a, b) => a.name < b.name ? -1 : 1);
    for (const entry of entries) {
        const child = join(path, entry.name);
        const add = (kind, contents) => hash.update(JSON.stringify([child, kind, contents.length])).update(contents);
        if (entry.isDirectory()) {
            addFolder(hash, child, readdirSync(child, { withFileTypes: true }));
        }
        else if (entry.isSymbolicLink()) {
            add("link", readlinkSync(child));
        }
        else {
            add("file", readFileSync(child));
        }
    }
    return hash;
};

/** SHA-256 of the lockfile. */
export const hashLockfile = () => createHash("sha256").update(readFileSync("package-lock.json")).digest("hex");

const describeInstall = (lockfile = hashLockfile()) => {
    // Tools keep caches in folders whose names begin with a dot.
    const packages = readdirSync(folder, { withFileTypes: true }).filter(({ name }) => !name.startsWith("."));
    return {
        lockfile,
        platform: process.platform,
        arch: process.arch,
        node: process.version,
        packages: addFolder(createHash("sha256"), folder, packages).digest("hex"),
    };
};

/** Why what is installed cannot be taken for whole; undefined if it can. */
export const findInstallFault = () => {
    try {
        const record = JSON.parse(readFileSync(recordFile, "utf8"));
        const fault = Object.entries(describeInstall()).find(([key, value]) => record[key] !== value)?.[0];
        return fault && `${fault} differs from what was recorded`;
    }
    catch (err) {
        return err.code === "ENOENT" ? `${err.path} is missing` : err.message;
    }
};

/** Removes the record before the install changes. */
export const removeInstallRecord = () => rmSync(recordFile, { force: true });

/** Records an install of a lockfile that has succeeded; by default, of the present one. */
export const writeInstallRecord = lockfile => writeWhole(recordFile, JSON.stringify(describeInstall(lockfile)));

if (process.argv[1]?.endsWith("installRecord.mjs")) {
    await writeInstallRecord();
}
