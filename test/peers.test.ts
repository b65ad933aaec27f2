import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { decodeAndApplyConfig } from "../src/forward/storeObservers";
import type { PeerServer } from "../src/placement/peerServer";
import { decodeConfig } from "../src/platform/configDecoder";
import { decodeServer } from "../src/platform/directoryDecoder";
import { setupLogs } from "../src/utils/events";
import { createRandom } from "../src/utils/random";
import { repeat, sleep } from "../src/utils/time";
import { MemoryPlatformStore } from "./fakes/memoryPlatformStore";
import { createNode, renewIntervalMs } from "./fakes/peerNodes";

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

describe("peers", () => {
    const peerServers: PeerServer[] = [];
    const abort = new AbortController();
    before(() => setupLogs("silent"));
    after(() => {
        abort.abort();
        peerServers.forEach(peerServer => peerServer.close());
        setupLogs("info");
    });

    it("provide configuration, directory, adapters and placements to a node without access to the store", async () => {
        const store = MemoryPlatformStore.create(createRandom(2));
        store.lossShare = 0;
        const first = await createNode(store, "n1", [], abort.signal);
        peerServers.push(first.peerServer);
        decodeAndApplyConfig(first.gateway, configBytes, decodeConfig, "store");
        first.gateway.directory.apply({ id: "u1", version: 3, server: decodeServer("u1", serverBytes)! });
        first.gateway.directory.version = 3;
        await first.lease.tick();
        const second = await createNode(store, "n2", [first.peerAddress], abort.signal);
        peerServers.push(second.peerServer);
        await second.lease.tick();
        first.start();
        second.start();
        await sleep(1_000);
        assert.equal(second.gateway.config?.version, 7);
        assert.deepEqual(second.gateway.directory.readyOf("s").map(({ id }) => id), ["u1"]);
        assert.equal(second.gateway.knownNodes, 2);
        const answer = await second.client.place({ service: "s", model: "m", adapter: "a1", avoid: [], unreachable: [] });
        assert.equal(answer.runner, "u1");
        await sleep(700);
        assert.equal(second.gateway.residency.hasAdapter("u1", "m/a1"), true);
    });

    it("forget the adapters of runners that have left the directory", async () => {
        const { gateway, link, peerServer } = await createNode(MemoryPlatformStore.create(createRandom(3)), "n1", [], abort.signal);
        peerServers.push(peerServer);
        ["u1", "u2"].forEach((id, index) => {
            gateway.directory.apply({ id, version: index + 1, server: decodeServer(id, serverBytes)! });
            link.adapters.update(id, ["m/a1"]);
        });
        gateway.directory.apply({ id: "u1", version: 3 });
        assert.deepEqual(Object.keys(link.adapters.since(0).byRunner), ["u2"]);
    });

    it("report all demand to a new controller, not only new demand", async () => {
        const store = MemoryPlatformStore.create(createRandom(4));
        store.lossShare = 0;
        const first = await createNode(store, "n1", [], abort.signal);
        const second = await createNode(store, "n2", [first.peerAddress], abort.signal);
        peerServers.push(first.peerServer, second.peerServer);
        await first.lease.tick();
        await second.lease.tick();
        const reportedWorkMs: number[] = [];
        const recordWork = (peerServer: PeerServer): void => {
            const exchange = peerServer.exchange.bind(peerServer);
            peerServer.exchange = report => {
                reportedWorkMs.push(Math.round(report.work.find(({ artifact }) => artifact === "m")?.workMs ?? 0));
                return exchange(report);
            };
        };
        recordWork(first.peerServer);
        second.client.countWork("m", 500);
        second.client.start(abort.signal);
        await sleep(1_200);
        assert.deepEqual(reportedWorkMs.filter(work => work > 0), [500], "reported once to the first controller");
        reportedWorkMs.length = 0;
        recordWork(second.peerServer);
        await first.lease.release();
        await second.lease.tick();
        await sleep(1_200);
        const sum = reportedWorkMs.reduce((total, work) => total + work, 0);
        assert.ok(sum > 200 && sum < 500, `${sum} ms of work reported to the second controller`);
    });

    it("find a new controller from its announcement, received directly or through a peer, without reading the lease row", async () => {
        const store = MemoryPlatformStore.create(createRandom(5));
        store.lossShare = 0;
        const second = await createNode(store, "n2", [], abort.signal);
        const first = await createNode(store, "n1", [second.peerAddress], abort.signal);
        const unreachableStore = MemoryPlatformStore.create(createRandom(6));
        unreachableStore.isDown = true;
        const third = await createNode(unreachableStore, "n3", [second.peerAddress], abort.signal);
        peerServers.push(first.peerServer, second.peerServer, third.peerServer);
        await first.lease.tick();
        first.start();
        await sleep(600);
        third.client.start(abort.signal);
        await sleep(1_500);
        assert.equal(second.peerServer.latestAnnouncement?.peerAddress, first.peerAddress, "announcement received directly");
        assert.equal(third.peerServer.latestAnnouncement?.peerAddress, first.peerAddress, "announcement received through a peer");
        assert.ok(Number.isFinite(third.link.ageMs));
    });

    it("report through relays in a large fleet, so that the controller hears of all nodes from a few", async () => {
        const store = MemoryPlatformStore.create(createRandom(7));
        store.lossShare = 0;
        const fleetAbort = new AbortController();
        const first = await createNode(store, "c", [], fleetAbort.signal);
        await first.lease.tick();
        const others = await Promise.all(
            [...Array(39).keys()].map(index => createNode(store, `n${index}`, [first.peerAddress], fleetAbort.signal, index % 2 === 0 ? "a" : "b")),
        );
        const nodes = [first, ...others];
        peerServers.push(...nodes.map(({ peerServer }) => peerServer));
        await Promise.all(others.map(({ lease }) => lease.tick()));
        const reporters = new Set<string>();
        const reportedWork: number[] = [];
        const exchange = first.peerServer.exchange.bind(first.peerServer);
        first.peerServer.exchange = report => {
            reporters.add(report.node);
            reportedWork.push(...report.work.filter(({ artifact }) => artifact === "m").map(({ workMs }) => workMs));
            return exchange(report);
        };
        nodes.forEach(({ client }) => client.start(fleetAbort.signal));
        void repeat(() => first.lease.tick(), () => renewIntervalMs, fleetAbort.signal, () => undefined);
        await sleep(3_000);
        assert.deepEqual(nodes.map(({ gateway }) => gateway.knownNodes).filter(count => count !== 40), [], "nodes known to each node");
        reporters.clear();
        others.forEach(({ client }) => client.countWork("m", 10));
        const [busy, idle] = [others[5]!, others[8]!];
        const traffic = busy.gateway.trafficOf("u1");
        traffic.inFlight = 3;
        traffic.pendingPrefillMs = 700;
        await sleep(1_800);
        assert.ok(reporters.size <= 6, `${reporters.size} nodes reported to the controller itself`);
        assert.equal(Math.round(reportedWork.reduce((sum, work) => sum + work, 0)), 390, "work reported once");
        assert.equal(idle.gateway.trafficOf("u1").load, 3);
        assert.ok(idle.gateway.trafficOf("u1").waitingPrefillMs > 0);
        assert.equal(traffic.load, 3, "a node's own load does not come back to it");
        fleetAbort.abort();
    });

    it("send everything to a node whose versions are those of another process, such as a relay before its restart", async () => {
        const store = MemoryPlatformStore.create(createRandom(9));
        store.lossShare = 0;
        const node = await createNode(store, "s1", [], abort.signal);
        peerServers.push(node.peerServer);
        await node.lease.tick();
        const report = {
            node: "other",
            peerAddress: "127.0.0.1:1",
            zone: "a",
            cores: 1,
            members: [],
            configVersion: 0,
            directoryVersion: 0,
            adaptersRevision: 0,
            peersVersion: 0,
            work: [],
            loads: {},
        };
        const first = node.peerServer.exchange(report);
        assert.deepEqual(first.peers?.map(({ address }) => address), ["127.0.0.1:1"]);
        const known = { ...report, adaptersEpoch: first.epoch, peersVersion: first.peersVersion, source: first.source };
        assert.equal(node.peerServer.exchange(known).peers, undefined, "nothing new");
        assert.equal(node.peerServer.exchange({ ...known, source: "another process" }).peers?.length, 1);
    });

    it("keep what they know fresh through each other while there is no controller, but not for longer than a peer read it", async () => {
        const store = MemoryPlatformStore.create(createRandom(8));
        store.isDown = true;
        const first = await createNode(store, "g1", [], abort.signal);
        const second = await createNode(store, "g2", [first.peerAddress], abort.signal);
        peerServers.push(first.peerServer, second.peerServer);
        first.gateway.freshness.follow("op");
        first.gateway.freshness.onConfirmed("op");
        second.client.start(abort.signal);
        await sleep(900);
        assert.equal(second.gateway.freshness.isFresh, true);
        await sleep(1_200);
        assert.equal(second.gateway.freshness.isFresh, false, "the first node has not read the store since");
    });

    it("answer a placement request with an uncertain answer while there is no controller", async () => {
        const store = MemoryPlatformStore.create(createRandom(3));
        const node = await createNode(store, "n3", [], abort.signal);
        peerServers.push(node.peerServer);
        decodeAndApplyConfig(node.gateway, configBytes, decodeConfig, "store");
        assert.deepEqual(await node.client.place({ service: "s", model: "m", avoid: [], unreachable: [] }), {
            readyInMs: 0,
            isComing: false,
            isUncertain: true,
        });
    });
});
