import assert from "node:assert/strict";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { after, describe, it } from "node:test";
import { sleep } from "../src/utils/time";
import { isAnswering, NodeStarts, reserveAddresses, settingsOf, startedWithinMs, startPollMs, startTimeoutMs } from "./fakes/nodeStart";
import { waitFor } from "./fakes/processes";

const severalTriesMs = 1_500;
const maxLogBytes = 10_000;

/** Guards against lines that grow with the settings file, again and again while it is wrong. */
describe("the lines on a settings file with faults", { concurrency: true }, () => {
    const starts = NodeStarts.create();
    after(() => starts.close());

    const cases: readonly { readonly name: string; readonly spoil: (text: string) => string; }[] = [
        {
            name: "20,000 seeds that are no addresses",
            spoil: text => text.replace(/^seeds = .*$/m, `seeds = [${[...Array(20_000).keys()].map(index => `"nowhere-${index}"`).join(", ")}]`),
        },
        { name: "a line of 1 MB that is not TOML", spoil: text => `${text}\nx = ${"y ".repeat(500_000)}\n` },
    ];
    for (const [index, { name, spoil }] of cases.entries()) {
        it(`are bounded at the start and while it serves: ${name}`, async () => {
            const addresses = await reserveAddresses();
            const file = join(starts.folder, `faults-${index}.toml`);
            const sound = settingsOf(addresses);
            writeFileSync(file, spoil(sound));
            const { child, log } = starts.start(file);
            await waitFor("line of the wait", () => log().includes("NodeStartRetried"), startTimeoutMs, startPollMs);
            await sleep(severalTriesMs);
            writeFileSync(file, sound);
            await waitFor("answers", () => isAnswering(addresses.ready), startedWithinMs, startPollMs);
            writeFileSync(file, spoil(sound));
            child.kill("SIGHUP");
            await waitFor("refusal", () => log().includes("SettingsRefused"), startTimeoutMs, startPollMs);
            assert.ok(log().length <= maxLogBytes, `${log().length} bytes`);
        });
    }
});
