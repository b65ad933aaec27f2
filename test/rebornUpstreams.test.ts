import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import type { Gateway } from "../src/forward/gateway";
import { UpstreamProber } from "../src/forward/upstreamProber";
import type { RunnerAddress, RunnerControl } from "../src/types/runner";
import { setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import { reservePort } from "./fakes/ports";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";
import { answer } from "./fakes/upstreamScripts";

const id = "up-0";

/** Addresses of the earlier process and the present one. */
interface Addresses {
    readonly earlier: string;
    readonly address: string;
}

/** Guards against requests that go to the address of an earlier process, or are judged by it. */
describe("an upstream that is born again under its ID", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    const cases: readonly { readonly name: string; readonly change: (gateway: Gateway, addresses: Addresses) => void; }[] = [
        {
            name: "at another address",
            change: ({ directory }, { address }) => directory.apply({ id, version: 50, server: { ...directory.get(id)!, address, bornAt: 2 } }),
        },
        {
            name: "at another address, as far as its row says the same process",
            change: ({ directory }, { address }) => directory.apply({ id, version: 50, server: { ...directory.get(id)!, address } }),
        },
        {
            name: "after a request that had been waiting asked for the removed one",
            change: (gateway, { earlier, address }) => {
                const server = { ...gateway.directory.get(id)!, address, bornAt: 2 };
                gateway.directory.apply({ id, version: 50 });
                gateway.connectionPoolOf(id, earlier);
                gateway.directory.apply({ id, version: 51, server });
            },
        },
    ];
    for (const { name, change } of cases) {
        it(`gets requests ${name}`, async () => {
            const earlier = `127.0.0.1:${await reservePort()}`;
            const later = await startScriptedUpstream(answer);
            const node = await startGateway([earlier]);
            node.gateway.connectionPoolOf(id, earlier);
            change(node.gateway, { earlier, address: later.address });
            const { status } = await callGateway(node.address);
            node.close();
            later.close();
            assert.equal(status, 200);
        });
    }

    for (const bornAt of [1, 0]) {
        it(`gets requests although one that chose the earlier process waited for its turn meanwhile, born at ${bornAt}`, async () => {
            const earlier = `127.0.0.1:${await reservePort()}`;
            const later = await startScriptedUpstream(answer);
            const { gateway, address, close } = await startGateway([earlier]);
            gateway.placement.acquirePermit = () => Promise.resolve({ isGranted: true, waitMs: 300 });
            gateway.runnerLimits.onAnswer(`${id}@1`, 5, performance.now());
            const waiting = callGateway(address);
            await sleep(100);
            gateway.directory.apply({ id, version: 50, server: { ...gateway.directory.get(id)!, address: later.address, bornAt } });
            const statuses = [(await waiting).status, (await callGateway(address)).status];
            close();
            later.close();
            assert.deepEqual(statuses, [200, 200]);
        });
    }

    it("is alive though a probe has just found that its predecessor ended", async () => {
        const fetchReport = (): Promise<unknown> => Promise.resolve({ bornAt: 2 });
        const prober = UpstreamProber.create({ fetchReport } as unknown as RunnerControl);
        const processOf = (bornAt: number): RunnerAddress => ({ id, address: "127.0.0.1:1", bornAt }) as RunnerAddress;
        const isAlive = [await prober.isAlive(processOf(1)), await prober.isAlive(processOf(2))];
        assert.deepEqual(isAlive, [false, true]);
    });
});
