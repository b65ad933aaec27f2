import assert from "node:assert/strict";
import { createServer } from "node:net";
import { after, before, describe, it } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { PlatformNode } from "../src/node/platformNode";
import { readTransportLimits } from "../src/node/transportLimitSettings";
import { parseSettingsFile } from "../src/platform/settingsFile";
import type { PlatformNodeSettings } from "../src/types/platformNodeSettings";
import { setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import { reserveAddresses, settingsOf } from "./fakes/nodeStart";

const renewals = 8;
/** Longer than the pauses between tries for a port. */
const severalTriesMs = 300;
/** The last nodes may still be in use by what ends. */
const maxKept = 2;

/** Guards against a process that keeps each node that a renewal has replaced. */
describe("nodes that are renewed while they wait for a port", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    it("are not kept", async () => {
        const transport = readTransportLimits({});
        assert.ok("limits" in transport);
        const addresses = await reserveAddresses();
        const parse = (storeAddress: string): PlatformNodeSettings => {
            const result = parseSettingsFile(settingsOf(addresses, storeAddress), transport.limits);
            assert.ok("settings" in result);
            return result.settings;
        };
        const other = createServer();
        await new Promise<void>(resolve => other.listen(Number(addresses.ready.split(":")[1]), "127.0.0.1", () => resolve()));
        const replaced: WeakRef<PlatformNode>[] = [];
        let node = PlatformNode.create(parse("127.0.0.1:9"));
        for (let count = 1; count <= renewals; count++) {
            const started = node.start();
            await sleep(severalTriesMs);
            node.reload(parse(`127.0.0.1:${count}`));
            assert.equal(await started, false);
            replaced.push(new WeakRef(node));
            node = node.renew();
        }
        other.close();
        setFlagsFromString("--expose-gc");
        const collect = runInNewContext("gc") as () => void;
        await sleep(severalTriesMs);
        collect();
        await sleep(severalTriesMs);
        collect();
        const kept = replaced.filter(reference => reference.deref()).length;
        assert.ok(kept <= maxKept, `${kept} nodes of ${renewals}`);
    });
});
