import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ContactState } from "../src/types/contactState";
import { RouteKind } from "../src/types/servingConfig";
import { sleep } from "../src/utils/time";
import { callGateway } from "./fakes/gatewayHarness";
import { withFleet } from "./fakes/relayFleet";
import type { Script } from "./fakes/scriptedUpstream";
import { brokenStream, completeStream, resumedStream, sseEvents } from "./fakes/upstreamScripts";

const route = { kind: RouteKind.Streaming, isResumable: true, maxAttempts: 3 };
const versions = ["v1", "v1.1"];
const breakMs = 200;
/** Time for the base version to be stored, and for records that are written later. */
const settleMs = 300;

const failLater: Script = socket => void setTimeout(() => socket.destroy(), breakMs);

/** The upstreams that the first node and its peers know; the first one is of the service's base version. */
const cases = [
    { name: "an attempt at the base version failed here", ofOrigin: "up-0", ofPeers: "up-1", began: "v1.1" },
    { name: "an attempt at another version failed here", ofOrigin: "up-1", ofPeers: "up-0", began: "v1" },
] as const;

// Guards against streams that went on at the version of an attempt that had failed, after a peer had begun them at another one.
describe("the software version of a stream that a peer began", () => {
    cases.forEach(({ name, ofOrigin, ofPeers, began }) =>
        it(`is known to all nodes after ${name}`, () =>
            withFleet(
                { nodes: 3, scripts: [completeStream, completeStream], versions, cutScript: failLater, route, recordsStreams: true },
                async ({ nodes, origin, peers }) => {
                    await sleep(settleMs);
                    const keep = ({ gateway }: typeof origin, kept: string): void =>
                        ["up-0", "up-1"].filter(id => id !== kept).forEach(id => gateway.directory.apply({ id, version: 9, server: undefined }));
                    keep(origin, ofOrigin);
                    peers.forEach(peer => keep(peer, ofPeers));
                    origin.setContact(ContactState.Held);
                    const result = callGateway(origin.address);
                    await sleep(breakMs / 2);
                    origin.setContact(ContactState.Doubted);
                    const { body } = await result;
                    assert.equal(body, sseEvents(1, 4));
                    await sleep(settleMs);
                    const origins = await Promise.all(nodes.map(({ gateway }) => gateway.streamVersions.originOf("desk", "id-1")));
                    assert.deepEqual(origins.map(({ version }) => version), nodes.map(() => began));
                },
            ))
    );

    it("is kept to within one answer after an attempt at another one failed here", () =>
        withFleet(
            { scripts: [resumedStream, brokenStream], versions, cutScript: failLater, route: { ...route, maxAttempts: 4 }, recordsStreams: true },
            async ({ origin, peers: [peer], upstreams: [older] }) => {
                await sleep(settleMs);
                const server = peer!.gateway.directory.get("up-0");
                origin.gateway.directory.apply({ id: "up-1", version: 9, server: undefined });
                peer!.gateway.directory.apply({ id: "up-0", version: 9, server: undefined });
                origin.setContact(ContactState.Held);
                const result = callGateway(origin.address, { keepsPart: true });
                await sleep(breakMs / 2);
                origin.setContact(ContactState.Doubted);
                await sleep(breakMs / 2);
                peer!.gateway.directory.apply({ id: "up-0", version: 10, server });
                origin.gateway.directory.apply({ id: "up-0", version: 10, server });
                const { body, isComplete } = await result;
                assert.equal(older!.received.length, 0);
                assert.equal(isComplete, false);
                assert.equal(body, sseEvents(1, 2));
            },
        ));

    it("and what else its answer says are not ascribed to the upstream of an attempt that failed here", () =>
        withFleet({ scripts: [completeStream], cutScript: failLater, route }, async ({ origin }) => {
            const limited: string[] = [];
            origin.gateway.runnerLimits.onAnswer = runner => void limited.push(runner);
            origin.setContact(ContactState.Held);
            const result = callGateway(origin.address);
            await sleep(breakMs / 2);
            origin.setContact(ContactState.Doubted);
            assert.equal((await result).body, sseEvents(1, 4));
            assert.deepEqual(limited, []);
        }));
});
