import assert from "node:assert/strict";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { after, describe, it } from "node:test";
import { ExitCode } from "../src/cli/exitCode";
import { EventId } from "../src/types/eventId";
import { sleep } from "../src/utils/time";
import type { NodeAddresses } from "./fakes/nodeStart";
import { heldMs, isAnswering, isListening, NodeStarts, reserveAddresses, settingsOf, startedWithinMs, startPollMs, startTimeoutMs } from "./fakes/nodeStart";
import { waitFor } from "./fakes/processes";

/** The processor time of the end and the flush of the log, not the grace period. */
const endedWithinMs = 1_000;
const renewals = 4;

describe("guards against an end while a port is taken", { concurrency: true }, () => {
    const starts = NodeStarts.create();
    after(() => starts.close());

    const ports: readonly (keyof NodeAddresses)[] = ["front", "ready", "control"];
    for (const taken of ports) {
        it(`answers neither callers nor the load balancer while the ${taken} port is taken, and starts once it is free`, async () => {
            const addresses = await reserveAddresses();
            const free = await starts.takePort(addresses[taken]);
            const file = join(starts.folder, `${taken}.toml`);
            writeFileSync(file, settingsOf(addresses));
            const { child, ended } = starts.start(file);
            const seen = { ended: false, listening: false, answered: false };
            void ended.then(() => seen.ended = true);
            const freedAt = performance.now() + heldMs;
            while (performance.now() < freedAt) {
                seen.listening ||= taken !== "ready" && await isListening(addresses.ready);
                seen.answered ||= await isAnswering(addresses.ready) || await isAnswering(addresses.front);
                await sleep(startPollMs);
            }
            assert.deepEqual(seen, { ended: false, listening: false, answered: false });
            free();
            await waitFor("answers", async () => await isAnswering(addresses.ready) && isAnswering(addresses.front), startedWithinMs, startPollMs);
            child.kill("SIGTERM");
            assert.equal(await ended, ExitCode.Ok);
        });
    }

    it("serves callers while the metrics port is taken, and metrics once it is free", async () => {
        const addresses = await reserveAddresses();
        const free = await starts.takePort(addresses.metrics);
        const file = join(starts.folder, "metrics.toml");
        writeFileSync(file, settingsOf(addresses));
        const { child, ended } = starts.start(file);
        await waitFor("answers", async () => await isAnswering(addresses.ready) && isAnswering(addresses.front), startTimeoutMs, startPollMs);
        await sleep(heldMs);
        assert.equal(await isAnswering(addresses.front), true);
        assert.equal(child.exitCode ?? child.signalCode ?? undefined, undefined);
        free();
        await waitFor("metrics", () => isAnswering(addresses.metrics), startedWithinMs, startPollMs);
        child.kill("SIGTERM");
        assert.equal(await ended, ExitCode.Ok);
    });

    it("ends with exit code 0 on SIGTERM while the metrics port is taken", async () => {
        const addresses = await reserveAddresses();
        await starts.takePort(addresses.metrics);
        const file = join(starts.folder, "stopped-metrics.toml");
        writeFileSync(file, settingsOf(addresses));
        const { child, ended } = starts.start(file);
        await waitFor("answers", async () => await isAnswering(addresses.ready) && isAnswering(addresses.front), startTimeoutMs, startPollMs);
        child.kill("SIGTERM");
        assert.equal(await ended, ExitCode.Ok);
    });

    interface MovedCase {
        readonly name: string;
        /** Makes the first address of callers one that cannot be used; returns it. */
        readonly spoil: (address: string) => Promise<string>;
    }
    const movedCases: readonly MovedCase[] = [
        {
            name: "a port is taken",
            spoil: async address => {
                await starts.takePort(address);
                return address;
            },
        },
        // An address of the range for documentation, which no machine has.
        { name: "the machine lacks an address", spoil: address => Promise.resolve(address.replace("127.0.0.1", "192.0.2.1")) },
    ];
    for (const [index, { name, spoil }] of movedCases.entries()) {
        it(`takes the addresses that the settings name by then, while ${name}`, async () => {
            const [before, after] = [await reserveAddresses(), await reserveAddresses()];
            const file = join(starts.folder, `moved-${index}.toml`);
            writeFileSync(file, settingsOf({ ...before, front: await spoil(before.front) }));
            const { child, ended } = starts.start(file);
            await waitFor("metrics", () => isAnswering(before.metrics), startTimeoutMs, startPollMs);
            writeFileSync(file, settingsOf(after));
            child.kill("SIGHUP");
            await waitFor("answers", async () => await isAnswering(after.ready) && isAnswering(after.front), startedWithinMs, startPollMs);
            await waitFor("metrics", () => isAnswering(after.metrics), startedWithinMs, startPollMs);
            assert.equal(await isListening(before.ready), false);
            child.kill("SIGTERM");
            assert.equal(await ended, ExitCode.Ok);
        });
    }

    it("has the name that the settings say by then, while a port is taken", async () => {
        const addresses = await reserveAddresses();
        const free = await starts.takePort(addresses.control);
        const file = join(starts.folder, "renamed.toml");
        writeFileSync(file, settingsOf(addresses));
        const { child, log } = starts.start(file);
        await waitFor("line of the wait", () => log().includes("NodeStartRetried"), startTimeoutMs, startPollMs);
        writeFileSync(file, settingsOf(addresses, undefined, "n2"));
        child.kill("SIGHUP");
        await waitFor("reload", () => log().includes("SettingsReloaded"), startTimeoutMs, startPollMs);
        free();
        await waitFor("start", () => log().includes("NodeStarted"), startTimeoutMs, startPollMs);
        assert.match(log(), /"name":"NodeStarted".*"node":"n2@/);
    });

    it("counts on, in the metrics, when the settings name other addresses while a port is taken", async () => {
        const addresses = await reserveAddresses();
        await starts.takePort(addresses.front);
        const file = join(starts.folder, "renewed.toml");
        writeFileSync(file, settingsOf(addresses));
        const { child, log } = starts.start(file);
        const reloads = (): number => log().split("SettingsReloaded").length - 1;
        await waitFor("metrics", () => isAnswering(addresses.metrics), startTimeoutMs, startPollMs);
        for (let count = 1; count <= renewals; count++) {
            writeFileSync(file, settingsOf(addresses, `127.0.0.1:${count}`));
            child.kill("SIGHUP");
            await waitFor("reload", () => reloads() === count, startTimeoutMs, startPollMs);
        }
        await waitFor("metrics", () => isAnswering(addresses.metrics), startedWithinMs, startPollMs);
        const text = await (await fetch(`http://${addresses.metrics}/`)).text();
        const [, counted] = new RegExp(`^jackdawtrail_events_total{event="${EventId.SettingsReloaded}"} (.*)$`, "m").exec(text) ?? [];
        assert.equal(Number(counted), renewals);
    });

    interface StopCase {
        readonly name: string;
        readonly spoil: (file: string, addresses: NodeAddresses) => Promise<void>;
    }
    const stopCases: readonly StopCase[] = [
        {
            name: "a port",
            spoil: async (file, addresses) => {
                writeFileSync(file, settingsOf(addresses));
                await starts.takePort(addresses.control);
            },
        },
        { name: "its settings", spoil: () => Promise.resolve() },
    ];
    for (const [index, { name, spoil }] of stopCases.entries()) {
        it(`ends at once with exit code 0 on SIGTERM while it waits for ${name}`, async () => {
            const addresses = await reserveAddresses();
            const file = join(starts.folder, `stopped-${index}.toml`);
            await spoil(file, addresses);
            const { child, ended, log } = starts.start(file);
            await waitFor("line of the wait", () => log().includes("NodeStartRetried"), startTimeoutMs, startPollMs);
            const toldAt = performance.now();
            child.kill("SIGTERM");
            assert.equal(await ended, ExitCode.Ok);
            assert.ok(performance.now() - toldAt < endedWithinMs);
            assert.match(log(), /NodeStopped/);
        });
    }
});
