import assert from "node:assert/strict";
import { createServer } from "node:net";
import { after, before, describe, it } from "node:test";
import type { NodeDependencies } from "../src/node/standaloneNode";
import { StandaloneNode } from "../src/node/standaloneNode";
import { StandaloneNodeServer } from "../src/plugins/standaloneNodeServer";
import { setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import { reservePort } from "./fakes/ports";
import { createStandaloneTestSettings } from "./fakes/standaloneTestSettings";

const heldMs = 1_000;
const startedWithinMs = 1_000;

/** Guards against a start that fails because a predecessor still has the port. */
describe("a standalone node whose port is taken", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    const cases: readonly { readonly name: string; readonly isStopped: boolean; }[] = [
        { name: "starts once it is free", isStopped: false },
        { name: "does not start once it was stopped", isStopped: true },
    ];
    for (const { name, isStopped } of cases) {
        it(name, async () => {
            const port = await reservePort();
            const other = createServer();
            await new Promise<void>(resolve => other.listen(port, "127.0.0.1", () => resolve()));
            const overrides = { listen: `127.0.0.1:${port}`, stopNoticeMs: "0" };
            const node = StandaloneNode.create(createStandaloneTestSettings("n1", "za", overrides), {} as unknown as NodeDependencies);
            let startedPlugins = 0;
            node.use({ name: "component", start: () => void startedPlugins++ });
            const outcome = node.start(StandaloneNodeServer.create(node.context)).then(() => "settled", (err: unknown) => String(err));
            assert.equal(await Promise.race([outcome, sleep(heldMs).then(() => "waits")]), "waits");
            if (isStopped) {
                await node.stop();
            }
            await new Promise(resolve => other.close(resolve));
            assert.equal(await Promise.race([outcome, sleep(startedWithinMs).then(() => "waits")]), "settled");
            const status = await fetch(`http://127.0.0.1:${port}/healthz`).then(res => res.status, () => undefined);
            await node.stop();
            assert.deepEqual({ status, startedPlugins }, isStopped ? { status: undefined, startedPlugins: 0 } : { status: 200, startedPlugins: 1 });
        });
    }
});
