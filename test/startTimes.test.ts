import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { EventId } from "../src/types/eventId";
import { StartStep } from "../src/utils/startTimes";
import { renderSettingsFile } from "./fakes/platformSettingsFile";
import { reservePort } from "./fakes/ports";
import { waitFor } from "./fakes/processes";

/** Guards against a start of which the log does not say what took long. */
describe("event 101", () => {
    it("says when each step of the start was complete", async () => {
        const folder = mkdtempSync(join(tmpdir(), "jackdawtrail-"));
        const file = join(folder, "boot.toml");
        const ports = await Promise.all([reservePort(), reservePort(), reservePort(), reservePort()]);
        const [front, ready, control] = ports.map(port => `127.0.0.1:${port}`);
        const addresses = { front: front!, ready: ready!, control: control!, metricsPort: ports[3]! };
        writeFileSync(file, renderSettingsFile({ name: "n1", zone: "a", ...addresses, seeds: [], storeAddress: "127.0.0.1:9", graceS: 6, budgetSlack: 10 }));
        const node = spawn(process.execPath, ["build/jackdawtrail.cjs", "serve-platform"], { env: { ...process.env, JACKDAWTRAIL_NODE_FILE: file } });
        let output = "";
        node.stdout.on("data", (chunk: Buffer) => output += chunk.toString());
        const findLine = (): string | undefined => output.split("\n").find(line => line.includes(`"event":${EventId.NodeStarted},`));
        try {
            await waitFor("event 101", () => findLine() !== undefined);
            const { startMs } = JSON.parse(findLine()!) as { readonly startMs: Readonly<Record<StartStep, number>>; };
            assert.deepEqual(Object.keys(startMs), Object.values(StartStep));
            const times = Object.values(startMs);
            assert.deepEqual(times, times.toSorted((a, b) => a - b));
        }
        finally {
            node.kill("SIGKILL");
            rmSync(folder, { recursive: true });
        }
    });
});
