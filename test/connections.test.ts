import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import type { TestGateway } from "./fakes/gatewayHarness";
import { callGateway, findFreePort, startGateway } from "./fakes/gatewayHarness";
import type { Script, ScriptedUpstream } from "./fakes/scriptedUpstream";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";
import { answer, neverAnswer, refuseThenAnswer } from "./fakes/upstreamScripts";

before(() => setupLogs("silent"));

describe("connections to upstreams", () => {
    const withNode = async (
        script: Script,
        run: (node: TestGateway, upstream: ScriptedUpstream) => Promise<void>,
        kind = RouteKind.NonIdempotent,
    ): Promise<void> => {
        const upstream = await startScriptedUpstream(script);
        const node = await startGateway([upstream.address], { kind });
        await run(node, upstream);
        node.close();
        upstream.close();
    };

    it("a connection is used again after a whole answer", () =>
        withNode(answer, async (node, upstream) => {
            await callGateway(node.address);
            await callGateway(node.address);
            assert.equal(upstream.closedEarly, 0);
            assert.equal(upstream.received.length, 2);
        }));

    it("surplus bytes retire a connection and reach nobody", () =>
        withNode((socket, { id }) => void socket.write(answerOf(id, "mine") + answerOf("old", "surplus")), async node => {
            const results = [await callGateway(node.address), await callGateway(node.address)];
            assert.deepEqual(results.map(({ body }) => body).filter(body => body.includes("surplus")), []);
        }));

    it("a caller that leaves takes its request along at once", () =>
        withNode(neverAnswer, async (node, upstream) => {
            await callGateway(node.address, { leaveAfterMs: 60 });
            await new Promise(resolve => setTimeout(resolve, 150));
            assert.equal(upstream.closedEarly, 1);
        }));

    it("a refused request may come back and is served", () =>
        withNode(refuseThenAnswer, async node => {
            assert.equal((await callGateway(node.address)).status, 503);
            assert.equal((await callGateway(node.address)).status, 200);
        }));

    it("an upstream that cannot be reached is passed over, and costs no repeat", async () => {
        const upstream = await startScriptedUpstream(answer);
        const node = await startGateway([`127.0.0.1:${await findFreePort()}`, upstream.address]);
        node.gateway.trafficOf("up-0").onFirstByte(1);
        const result = await callGateway(node.address);
        node.close();
        upstream.close();
        assert.equal(result.status, 200);
        assert.equal(upstream.received.length, 1);
    });

    it("nothing is forwarded to an upstream that drains", () =>
        withNode(answer, async (node, upstream) => {
            const before = node.gateway.directory.get("up-0")!;
            node.gateway.directory.apply({ id: "up-0", version: 9, server: { ...before, state: "draining" as typeof before.state } });
            assert.equal((await callGateway(node.address)).status, 503);
            assert.equal(upstream.received.length, 0);
        }));
});

after(() => setupLogs("info"));
