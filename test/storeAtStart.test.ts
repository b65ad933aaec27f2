import assert from "node:assert/strict";
import { writeFileSync } from "node:fs";
import type { Server } from "node:http";
import { join } from "node:path";
import { after, describe, it } from "node:test";
import { createRandom } from "../src/utils/random";
import { sleep } from "../src/utils/time";
import { portOf } from "./fakes/jsonServer";
import { MemoryPlatformStore } from "./fakes/memoryPlatformStore";
import { heldMs, NodeStarts, reserveAddresses, settingsOf, startTimeoutMs } from "./fakes/nodeStart";
import { servePlatformStore } from "./fakes/platformStoreServer";
import { reservePort } from "./fakes/ports";
import { waitFor } from "./fakes/processes";

const config = {
    version: 3,
    limits: { maxHeaderBytes: 4_096, maxBodyBytes: 10_000, headerTimeoutMs: 3_000, idleTimeoutMs: 9_000 },
    routes: [{ name: "a", host: "shop.example", prefix: "/desk/", routeKind: "idempotent", timeoutMs: 6_000, service: "a", attempts: 1 }],
    services: [{ name: "a", healthPath: "/h", maxConns: 500 }],
};
const upstream = { service: "a", addr: "127.0.0.1:1", zone: "a", slots: 8, state: "ready", born: 1 };
/** What a change of the store needs to be in force. */
const applyMs = 2_000;

const put = (store: MemoryPlatformStore, table: string, key: string, text: string): void => store.put({ table, part: "", key }, Buffer.from(text));
const putSound = (store: MemoryPlatformStore): void => {
    put(store, "op", "config", JSON.stringify(config));
    put(store, "servers", "u1", JSON.stringify(upstream));
};

/** Guards against a process that ends, or does not become ready, because of what its first reads of the store find. */
describe("a start beside a store in trouble", { concurrency: true }, () => {
    const starts = NodeStarts.create();
    const servers: Server[] = [];
    after(() => {
        starts.close();
        servers.forEach(server => {
            server.closeAllConnections();
            server.close();
        });
    });
    const createStore = (): MemoryPlatformStore => Object.assign(MemoryPlatformStore.create(createRandom(1)), { lossShare: 0 });
    const isReady = async (address: string): Promise<boolean> => (await fetch(`http://${address}/`)).status === 200;

    interface StoreCase {
        readonly name: string;
        /** What the store holds at first; it is away if this is missing. */
        readonly spoil?: (store: MemoryPlatformStore) => void;
    }
    const cases: readonly StoreCase[] = [
        { name: "that is away" },
        { name: "that is empty", spoil: () => undefined },
        { name: "whose configuration is not JSON", spoil: store => put(store, "op", "config", '{"version":') },
        { name: "whose configuration is empty", spoil: store => put(store, "op", "config", "") },
        { name: "whose configuration is an array", spoil: store => put(store, "op", "config", "[]") },
        { name: "whose rows are not JSON", spoil: store => ["u1", "u2", ""].forEach(key => put(store, "servers", key, "{")) },
        {
            name: "whose own tables hold other things",
            spoil: store => ["jackdawtrail", "jackdawtrail-streams"].forEach(table => put(store, table, "controller", "null")),
        },
    ];
    for (const [index, { name, spoil }] of cases.entries()) {
        it(`survives one ${name}, and is ready soon after it is sound`, async () => {
            const [addresses, port, store] = [await reserveAddresses(), await reservePort(), createStore()];
            if (spoil) {
                spoil(store);
                servers.push(await servePlatformStore(store, port));
            }
            const file = join(starts.folder, `store-${index}.toml`);
            writeFileSync(file, settingsOf(addresses, `127.0.0.1:${port}`));
            const { child, log } = starts.start(file);
            await waitFor("start", () => log().includes("NodeStarted"), startTimeoutMs);
            await sleep(heldMs);
            assert.deepEqual([child.exitCode ?? child.signalCode ?? undefined, await isReady(addresses.ready)], [undefined, false]);
            putSound(store);
            if (!spoil) {
                servers.push(await servePlatformStore(store, port));
            }
            await waitFor("readiness", () => isReady(addresses.ready), applyMs);
        });
    }

    it("takes no lease while it waits for a port, and says for how long it has waited", async () => {
        const [addresses, store] = [await reserveAddresses(), createStore()];
        putSound(store);
        const server = await servePlatformStore(store);
        servers.push(server);
        const free = await starts.takePort(addresses.control);
        const file = join(starts.folder, "lease.toml");
        writeFileSync(file, settingsOf(addresses, `127.0.0.1:${portOf(server)}`));
        const { log } = starts.start(file);
        await waitFor("line of the wait", () => log().includes("NodeStartRetried"), startTimeoutMs);
        await sleep(heldMs);
        const hasLease = async (): Promise<boolean> => (await store.readRow({ table: "jackdawtrail", part: "", key: "controller" })).row !== undefined;
        const [, waitedS] = /^jackdawtrail_port_wait_seconds (.*)$/m.exec(await (await fetch(`http://${addresses.metrics}/`)).text())!;
        assert.deepEqual([await hasLease(), Number(waitedS) >= heldMs / 1_000], [false, true]);
        free();
        await waitFor("lease", hasLease, startTimeoutMs);
        assert.equal(await isReady(addresses.ready), true);
    });
});
