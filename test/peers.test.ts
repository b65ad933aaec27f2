import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { ControllerLease } from "../src/core/controllerLease";
import { Gateway } from "../src/forward/gateway";
import { decodeAndApplyConfig } from "../src/forward/storeObservers";
import { Controller } from "../src/placement/controller";
import { ControllerClient } from "../src/placement/controllerClient";
import { PeerServer } from "../src/placement/peerServer";
import { decodeConfig } from "../src/platform/configDecoder";
import { decodeServer } from "../src/platform/directoryDecoder";
import { requestHeaderCodec } from "../src/platform/requestHeaderCodec";
import type { RunnerControl } from "../src/types/runner";
import { RunnerOrderAnswer } from "../src/types/runner";
import { setupLogs } from "../src/utils/events";
import { createRandom } from "../src/utils/random";
import { repeat, sleep } from "../src/utils/time";
import { findFreePort, platformTestSettings } from "./fakes/gatewayHarness";
import { MemoryPlatformStore } from "./fakes/memoryPlatformStore";

const configBytes = Buffer.from(JSON.stringify({
    version: 7,
    routes: [{ name: "r", host: "h", prefix: "/", routeKind: "streaming", timeoutMs: 100, service: "s" }],
    services: [{
        name: "s",
        healthPath: "/h",
        maxConns: 5,
        engine: {
            slots: 8,
            kvCapacity: 1_000,
            weightsMb: 100,
            adapterSlots: 2,
            loadsPerS: 2,
            models: [{ name: "m", weightsMb: 50, loadS: 1, adapters: 3, adapterSizeMb: 1 }],
        },
    }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
}));
const serverBytes = Buffer.from(
    JSON.stringify({ service: "s", addr: "10.0.0.1:1", zone: "a", slots: 8, state: "ready", born: 1, models: [{ name: "m", version: 1, adapters: [] }] }),
);

/** Pause between two renewals of the lease, which lasts below two seconds. */
const renewMs = 300;

/** A runner that holds model m and accepts every order. */
const createControl = (): RunnerControl => ({
    fetchReport: () =>
        Promise.resolve({
            models: [{ name: "m", version: 1, adapters: [] }],
            inMemory: [],
            onDisk: [],
            loadingAdapters: [],
            isBusy: false,
            acceptedOrders: 0,
            queued: 0,
            active: 0,
            bornAt: 1,
        }),
    order: () => Promise.resolve(RunnerOrderAnswer.Accepted),
});

const createNode = async (store: MemoryPlatformStore, name: string, seeds: readonly string[], signal: AbortSignal) => {
    const random = createRandom(1);
    const peerAddress = `127.0.0.1:${await findFreePort()}`;
    const gateway = Gateway.create({ ...platformTestSettings, nodeId: name, peerAddress, seeds }, requestHeaderCodec, random);
    const lease = ControllerLease.create(store, { holder: name, boot: name, peerAddress }, platformTestSettings);
    const controller = Controller.create(gateway, lease, createControl());
    const hub = PeerServer.create(gateway, controller);
    const link = ControllerClient.create(gateway, lease, { peerServer: hub, controller, decodeConfig, onConfig: () => undefined });
    await hub.listen(peerAddress);
    const start = (): void => {
        link.start(signal);
        controller.start(signal);
        void repeat(() => lease.tick(), () => renewMs, signal, () => undefined);
    };
    return { gateway, lease, hub, link, peerAddress, start };
};

describe("peers", () => {
    const hubs: PeerServer[] = [];
    const abort = new AbortController();
    before(() => setupLogs("silent"));
    after(() => {
        abort.abort();
        hubs.forEach(hub => hub.close());
        setupLogs("info");
    });

    it("a node that is cut from the store learns configuration, directory and adapters from a peer, and has models placed", async () => {
        const store = MemoryPlatformStore.create(createRandom(2));
        store.lossShare = 0;
        const first = await createNode(store, "n1", [], abort.signal);
        hubs.push(first.hub);
        decodeAndApplyConfig(first.gateway, configBytes, decodeConfig, "store");
        first.gateway.directory.apply({ id: "u1", version: 3, server: decodeServer("u1", serverBytes)! });
        first.gateway.directory.version = 3;
        await first.lease.tick();
        const second = await createNode(store, "n2", [first.peerAddress], abort.signal);
        hubs.push(second.hub);
        await second.lease.tick();
        first.start();
        second.start();
        await sleep(1_000);
        assert.equal(second.gateway.config?.version, 7);
        assert.deepEqual(second.gateway.directory.readyOf("s").map(({ id }) => id), ["u1"]);
        assert.equal(second.gateway.knownNodes, 2);
        const answer = await second.link.place({ service: "s", model: "m", adapter: "a1", avoid: [], unreachable: [] });
        assert.equal(answer.runner, "u1");
        await sleep(700);
        assert.equal(second.gateway.residency.hasAdapter("u1", "m/a1"), true);
    });

    it("a new controller hears of all demand, not only of what is new", async () => {
        const store = MemoryPlatformStore.create(createRandom(4));
        store.lossShare = 0;
        const first = await createNode(store, "n1", [], abort.signal);
        const second = await createNode(store, "n2", [first.peerAddress], abort.signal);
        hubs.push(first.hub, second.hub);
        await first.lease.tick();
        await second.lease.tick();
        const told: number[] = [];
        const hear = (hub: PeerServer): void => {
            const exchange = hub.exchange.bind(hub);
            hub.exchange = report => {
                told.push(Math.round(report.work.find(({ artifact }) => artifact === "m")?.workMs ?? 0));
                return exchange(report);
            };
        };
        hear(first.hub);
        second.link.countWork("m", 500);
        second.link.start(abort.signal);
        await sleep(1_200);
        assert.deepEqual(told.filter(work => work > 0), [500], "told once to the first controller");
        told.length = 0;
        hear(second.hub);
        await first.lease.release();
        await second.lease.tick();
        await sleep(1_200);
        const sum = told.reduce((total, work) => total + work, 0);
        assert.ok(sum > 200 && sum < 500, `${sum} ms of work told to the second controller`);
    });

    it("a node that cannot read the lease row finds a new controller by its announcement, also at second hand", async () => {
        const store = MemoryPlatformStore.create(createRandom(5));
        store.lossShare = 0;
        const second = await createNode(store, "n2", [], abort.signal);
        const first = await createNode(store, "n1", [second.peerAddress], abort.signal);
        const cut = MemoryPlatformStore.create(createRandom(6));
        cut.isDown = true;
        const third = await createNode(cut, "n3", [second.peerAddress], abort.signal);
        hubs.push(first.hub, second.hub, third.hub);
        await first.lease.tick();
        first.start();
        await sleep(600);
        third.link.start(abort.signal);
        await sleep(1_500);
        assert.equal(second.hub.latestAnnouncement?.peerAddress, first.peerAddress, "announced at first hand");
        assert.equal(third.hub.latestAnnouncement?.peerAddress, first.peerAddress, "announced at second hand");
        assert.ok(third.link.lastAnswerAt > 0);
    });

    it("without a controller a question is answered as uncertain", async () => {
        const store = MemoryPlatformStore.create(createRandom(3));
        const node = await createNode(store, "n3", [], abort.signal);
        hubs.push(node.hub);
        decodeAndApplyConfig(node.gateway, configBytes, decodeConfig, "store");
        assert.deepEqual(await node.link.place({ service: "s", model: "m", avoid: [], unreachable: [] }), { readyInMs: 0, isComing: false, isUncertain: true });
    });
});
