import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setupLogs } from "../src/utils/events";
import { createPunctualConnector } from "../src/utils/punctualConnector";
import { sleep } from "../src/utils/time";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import { hangNewConnections } from "./fakes/linkCut";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";
import { answer } from "./fakes/upstreamScripts";

const toleranceMs = 150;
const portOf = (address: string): number => Number(address.split(":")[1]);

/** Guards against connection attempts that outlast their timeout by up to a second. */
describe("the timeout of a connection attempt", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    interface Result {
        readonly code: string | undefined;
        readonly afterMs: number;
        readonly isOpenLater: boolean;
    }
    const connect = async (address: string, timeout: number): Promise<Result> => {
        const startedAt = performance.now();
        const target = { hostname: "127.0.0.1", host: address, port: String(portOf(address)), protocol: "http:" };
        const [err, socket] = await new Promise<readonly unknown[]>(resolve => {
            createPunctualConnector({ timeout })(target, (...result) => resolve(result));
        }) as readonly [NodeJS.ErrnoException | null, { readonly destroyed: boolean; destroy(): void; } | null];
        const afterMs = performance.now() - startedAt;
        await sleep(timeout);
        const isOpenLater = socket?.destroyed === false;
        socket?.destroy();
        return { code: err?.code, afterMs, isOpenLater };
    };

    for (const timeoutMs of [100, 300, 400]) {
        it(`ends it after ${timeoutMs} ms`, async () => {
            const upstream = await startScriptedUpstream(answer);
            const resume = hangNewConnections([portOf(upstream.address)]);
            const { code, afterMs } = await connect(upstream.address, timeoutMs);
            resume();
            const opened = await connect(upstream.address, timeoutMs);
            upstream.close();
            assert.equal(code, "UND_ERR_CONNECT_TIMEOUT");
            assert.ok(afterMs >= timeoutMs - 5 && afterMs < timeoutMs + toleranceMs, `${afterMs} ms`);
            assert.equal(opened.code, undefined);
            assert.equal(opened.isOpenLater, true);
        });
    }

    it("lets a request go on to another upstream", async () => {
        const upstreams = await Promise.all([0, 1].map(() => startScriptedUpstream(answer)));
        const node = await startGateway(upstreams.map(({ address }) => address), { maxAttempts: 2 });
        [0, 1].forEach(index => node.gateway.trafficOf(`up-${index}`).onFirstByte(20 + 20 * index));
        const resume = hangNewConnections([portOf(upstreams[0]!.address)]);
        const { status, afterMs } = await callGateway(node.address);
        resume();
        node.close();
        upstreams.forEach(upstream => upstream.close());
        assert.equal(status, 200);
        assert.equal(upstreams[1]!.received.length, 1);
        assert.ok(afterMs < 400 + toleranceMs, `${afterMs} ms`);
    });
});
