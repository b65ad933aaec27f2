import { open, rename } from "node:fs/promises";
import { dirname } from "node:path";

const sync = async (path, flags, contents) => {
    const handle = await open(path, flags);
    try {
        if (contents !== undefined) {
            await handle.writeFile(contents);
        }
        await handle.sync();
    }
    finally {
        await handle.close();
    }
};

/** Writes a temporary file and renames it, so that a process that starts meanwhile never reads a partial file. The contents are on the disk before the name is, also after a loss of power. */
export const writeWhole = async (file, contents) => {
    const temporaryFile = `${file}.${process.pid}`;
    await sync(temporaryFile, "w", contents);
    await rename(temporaryFile, file);
    await sync(dirname(file), "r");
};
