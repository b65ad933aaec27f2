import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { decodeAndApplyConfig } from "../src/forward/storeObservers";
import { decodeConfig } from "../src/platform/configDecoder";
import { setupLogs } from "../src/utils/events";
import { createRandom } from "../src/utils/random";
import { sleep } from "../src/utils/time";
import { confirmByStore, requireConfirmation } from "./fakes/customers";
import { MemoryPlatformStore } from "./fakes/memoryPlatformStore";
import { createNode } from "./fakes/peerNodes";

const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
const configOf = (version: number): Buffer => Buffer.from(JSON.stringify({ version, routes: [], services: [], limits, tenants: [] }));
/** Several intervals between two reports. */
const exchangesMs = 1_500;
const revokeMs = 5_000;

type PeerNode = Awaited<ReturnType<typeof createNode>>;

describe("a node that does not reach the store", () => {
    let abort: AbortController;
    let teller: PeerNode;
    let cutOff: PeerNode;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(async () => {
        abort = new AbortController();
        const store = MemoryPlatformStore.create(createRandom(2));
        store.lossShare = 0;
        const unreachableStore = MemoryPlatformStore.create(createRandom(3));
        unreachableStore.isDown = true;
        teller = await createNode(store, "n1", [], abort.signal);
        cutOff = await createNode(unreachableStore, "n2", [teller.peerAddress], abort.signal);
        for (const { gateway } of [teller, cutOff]) {
            requireConfirmation(gateway, revokeMs);
        }
        decodeAndApplyConfig(teller.gateway, configOf(7), decodeConfig, "store");
        confirmByStore(teller.gateway);
        await teller.lease.tick();
    });
    afterEach(() => {
        abort.abort();
        [teller, cutOff].forEach(({ peerServer }) => peerServer.close());
    });

    const run = async (): Promise<void> => {
        teller.start();
        cutOff.client.start(abort.signal);
        await sleep(exchangesMs);
    };

    it("knows the age of its configuration from a peer, never as younger than the peer does", async () => {
        await run();
        assert.equal(cutOff.gateway.config?.version, 7);
        assert.ok(cutOff.gateway.confirmation.isRecent);
        assert.ok(cutOff.gateway.confirmation.ageMs >= teller.gateway.confirmation.ageMs);
    });

    it("gets no confirmation from a peer that has none, as after a restart", async () => {
        requireConfirmation(teller.gateway, 1);
        Object.defineProperty(teller.gateway.confirmation, "ageMs", { get: () => Number.POSITIVE_INFINITY });
        await run();
        assert.equal(cutOff.gateway.config?.version, 7);
        assert.ok(!cutOff.gateway.confirmation.isRecent);
    });

    it("gets no confirmation from a peer of the last release, which states no age", async () => {
        const exchange = teller.peerServer.exchange.bind(teller.peerServer);
        teller.peerServer.exchange = report => ({ ...exchange(report), configAgeMs: undefined });
        await run();
        assert.equal(cutOff.gateway.config?.version, 7);
        assert.ok(!cutOff.gateway.confirmation.isRecent);
    });
});
