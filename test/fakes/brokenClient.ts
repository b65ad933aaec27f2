import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Loaded before a node's program: while a file exists, the HTTP client cannot make a parser for a new connection, as where its memory cannot grow. */
export class BrokenClient {
    private constructor(private readonly folder: string) {}

    static create(): BrokenClient {
        const client = new BrokenClient(mkdtempSync(join(tmpdir(), "jackdawtrail-")));
        writeFileSync(
            client.module,
            `const { existsSync } = require("node:fs");
const { Instance } = WebAssembly;
WebAssembly.Instance = function (...args) {
    const { exports } = new Instance(...args);
    return {
        exports: {
            ...exports,
            llhttp_alloc: (...values) => {
                if (existsSync(${JSON.stringify(client.flag)})) {
                    throw new RangeError("WebAssembly.Instance(): Out of memory: Cannot allocate Wasm memory for new instance");
                }
                return exports.llhttp_alloc(...values);
            },
        },
    };
};
`,
        );
        return client;
    }

    get module(): string {
        return join(this.folder, "module.cjs");
    }

    private get flag(): string {
        return join(this.folder, "broken");
    }

    /** From now on no new connection can be used. */
    break(): void {
        writeFileSync(this.flag, "");
    }

    mend(): void {
        rmSync(this.flag);
    }

    close(): void {
        rmSync(this.folder, { recursive: true });
    }
}
