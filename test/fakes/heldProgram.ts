import assert from "node:assert/strict";
import { execFile, execFileSync } from "node:child_process";
import { closeSync, constants, copyFileSync, openSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { promisify } from "node:util";
import { waitFor } from "./processes";

const pollMs = 2;

/** Opens a named pipe for writing; undefined while no process reads it. */
export const openForWriting = (pipe: string): number | undefined => {
    try {
        return openSync(pipe, constants.O_WRONLY | constants.O_NONBLOCK);
    }
    catch (err) {
        assert.equal((err as NodeJS.ErrnoException).code, "ENXIO");
        return undefined;
    }
};

/** A copy of the program's entry whose second file is a named pipe: the process waits there, with nothing of the program read. */
export class HeldProgram {
    private constructor(readonly entry: string, private readonly program: string, private readonly pipe: string) {}

    static create(entry: string, folder: string): HeldProgram {
        const name = /\.\/([\w-]+\.cjs)/.exec(readFileSync(entry, "utf8"))?.[1];
        assert.ok(name, "the entry loads no second file");
        const [copy, pipe] = [join(folder, "entry.cjs"), join(folder, name)];
        copyFileSync(entry, copy);
        execFileSync("mkfifo", [pipe]);
        return new HeldProgram(copy, join(dirname(entry), name), pipe);
    }

    /** Waits until the process reads the second file; returns a function that lets it read all. */
    async whenHeld(): Promise<() => Promise<void>> {
        let fd: number | undefined;
        await waitFor("reader of the program", () => (fd = openForWriting(this.pipe)) !== undefined, undefined, pollMs);
        return async () => {
            await promisify(execFile)("sh", ["-c", 'cat "$0" > "$1"', this.program, this.pipe]);
            closeSync(fd!);
        };
    }
}
