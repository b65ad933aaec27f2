import { createHash } from "node:crypto";
import { once } from "node:events";
import { realpathSync } from "node:fs";
import { connect, createServer } from "node:net";

/** A name for a folder in the kernel's namespace of sockets: it is no file, and is free again once its process has ended, however it ended. */
const nameOf = folder => `\0jackdawtrail-build-${createHash("sha256").update(realpathSync(folder)).digest("hex")}`;

/** Takes the lock of a folder; false if another process has it. */
const tryLock = async name => {
    const server = createServer();
    try {
        await once(server.listen(name), "listening");
        return true;
    }
    catch (err) {
        if (err.code === "EADDRINUSE") {
            return false;
        }
        throw err;
    }
};

/** Waits until the process that has a lock ends. */
const waitForHolder = name =>
    new Promise(resolve => {
        const socket = connect(name);
        // A process that has just ended refuses or resets the connection: the caller then tries again.
        socket.on("error", () => {}).once("close", resolve).resume();
    });

/** Waits for other builds in a folder, and keeps later ones waiting until this process ends; the lock keeps the process alive. */
export const lockFolder = async folder => {
    const name = nameOf(folder);
    for (;;) {
        if (await tryLock(name)) {
            return;
        }
        console.error("waiting for another build in this folder");
        await waitForHolder(name);
    }
};
