import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { closeSync, rmSync, writeFileSync, writeSync } from "node:fs";
import { join } from "node:path";
import { after, describe, it } from "node:test";
import { sleep } from "../src/utils/time";
import { openForWriting } from "./fakes/heldProgram";
import type { NodeAddresses } from "./fakes/nodeStart";
import { heldMs, isAnswering, isListening, NodeStarts, reserveAddresses, settingsOf, startedWithinMs, startPollMs, startTimeoutMs } from "./fakes/nodeStart";
import { waitFor } from "./fakes/processes";

describe("the start of a node on the platform", () => {
    const starts = NodeStarts.create();
    after(() => starts.close());

    interface LateCase {
        readonly name: string;
        /** Prepares what is wrong when the process starts; returns a function that mends it. */
        readonly spoil: (file: string, addresses: NodeAddresses) => Promise<() => void>;
    }
    const lateCases: readonly LateCase[] = [
        {
            name: "settings file is missing",
            spoil: (file, addresses) => Promise.resolve(() => writeFileSync(file, settingsOf(addresses))),
        },
        {
            name: "settings file is empty",
            spoil: (file, addresses) => {
                writeFileSync(file, "");
                return Promise.resolve(() => writeFileSync(file, settingsOf(addresses)));
            },
        },
        {
            name: "settings file has a fault",
            spoil: (file, addresses) => {
                writeFileSync(file, settingsOf(addresses).replace(/^front = .*$/m, 'front = "nowhere"'));
                return Promise.resolve(() => writeFileSync(file, settingsOf(addresses)));
            },
        },
        {
            name: "settings file is half written",
            spoil: (file, addresses) => {
                const text = settingsOf(addresses);
                writeFileSync(file, text.slice(0, text.length / 2));
                return Promise.resolve(() => writeFileSync(file, text));
            },
        },
        {
            name: "port for callers is still held by the predecessor",
            spoil: async (file, addresses) => {
                writeFileSync(file, settingsOf(addresses));
                return starts.takePort(addresses.front);
            },
        },
    ];
    describe("guards against an end while the start", { concurrency: true }, () => {
        for (const [index, { name, spoil }] of lateCases.entries()) {
            it(`waits if the ${name} at first`, async () => {
                const addresses = await reserveAddresses();
                const file = join(starts.folder, `spoiled-${index}.toml`);
                const mend = await spoil(file, addresses);
                const { child } = starts.start(file);
                await sleep(heldMs);
                assert.equal(child.exitCode ?? child.signalCode ?? undefined, undefined);
                mend();
                await waitFor("readiness endpoint", () => isAnswering(addresses.ready), startedWithinMs, startPollMs);
            });
        }
    });

    it("survives SIGHUP before it has read its settings", async () => {
        const addresses = await reserveAddresses();
        const file = join(starts.folder, "late.toml");
        execFileSync("mkfifo", [file]);
        const { child, ended } = starts.start(file);
        let pipe: number | undefined;
        const check = (): boolean => {
            pipe = openForWriting(file);
            return pipe !== undefined;
        };
        await waitFor("reader of the settings", check, startTimeoutMs, startPollMs);
        child.kill("SIGHUP");
        await sleep(50);
        rmSync(file);
        writeFileSync(file, settingsOf(addresses));
        writeSync(pipe!, settingsOf(addresses));
        closeSync(pipe!);
        const outcome = await Promise.race([ended, waitFor("readiness endpoint", () => isListening(addresses.ready)).then(() => "started")]);
        assert.equal(outcome, "started");
    });
});
