import assert from "node:assert/strict";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { after, describe, it } from "node:test";
import { ExitCode } from "../src/cli/exitCode";
import type { NodeAddresses } from "./fakes/nodeStart";
import { isAnswering, isListening, NodeStarts, reserveAddresses, settingsOf, startPollMs, startTimeoutMs } from "./fakes/nodeStart";
import { waitFor } from "./fakes/processes";

/** The listener has been closed within this time. */
const lostWithinMs = 1_000;
/** Callers, peers and the load balancer do without a lost listener for this long at most. */
const mendedWithinMs = 3_000;

/** On SIGUSR2 it closes the listener of a port, which stands for one that is lost. */
const preloadText = (port: string): string => `
const net = require("node:net");
const servers = new Set();
const { listen } = net.Server.prototype;
net.Server.prototype.listen = function (...args) {
    servers.add(this);
    return listen.apply(this, args);
};
process.on("SIGUSR2", () => [...servers].filter(server => server.address()?.port === ${port}).forEach(server => net.Server.prototype.close.call(server)));
`;

describe("guards against a listener that stays lost", { concurrency: true }, () => {
    const starts = NodeStarts.create();
    after(() => starts.close());

    const ports: readonly (keyof NodeAddresses)[] = ["front", "ready", "control", "metrics"];
    for (const lost of ports) {
        it(`listens again once the listener of the ${lost} port is lost`, async () => {
            const addresses = await reserveAddresses();
            const [file, preload] = [join(starts.folder, `${lost}.toml`), join(starts.folder, `${lost}.cjs`)];
            writeFileSync(file, settingsOf(addresses));
            writeFileSync(preload, preloadText(addresses[lost].split(":")[1]!));
            const { child, ended, log } = starts.start(file, ["--require", preload]);
            await waitFor("start", () => log().includes("NodeStarted"), startTimeoutMs, startPollMs);
            child.kill("SIGUSR2");
            await waitFor("loss of the listener", async () => !await isListening(addresses[lost]), lostWithinMs, startPollMs);
            await waitFor("answers", () => isAnswering(addresses[lost]), mendedWithinMs, startPollMs);
            await waitFor("line of the loss", () => log().includes("ListenerLost"), mendedWithinMs, startPollMs);
            child.kill("SIGTERM");
            assert.equal(await ended, ExitCode.Ok);
        });
    }
});
