import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { MonitoredStore } from "../src/core/monitoredStore";
import { TableFollower } from "../src/core/tableFollower";
import { Gateway } from "../src/forward/gateway";
import { createDirectoryObserver } from "../src/forward/storeObservers";
import { decodeServer } from "../src/platform/directoryDecoder";
import { requestHeaderCodec } from "../src/platform/requestHeaderCodec";
import { setupLogs } from "../src/utils/events";
import { createRandom } from "../src/utils/random";
import { delayFeed } from "./fakes/delayFeed";
import { platformTestSettings } from "./fakes/gatewayHarness";
import { MemoryPlatformStore } from "./fakes/memoryPlatformStore";

const table = "servers";
const rowOf = (state: string, extra: object = {}): Buffer =>
    Buffer.from(JSON.stringify({ service: "desk", addr: "10.0.0.1:1", zone: "a", slots: 4, state, born: 5, ...extra }));

/** A directory that follows a store which answers its feed after 50 ms of the fake clock. */
const createFixture = () => {
    const random = createRandom(1);
    const store = MemoryPlatformStore.create(random);
    store.lossShare = 0;
    const gateway = Gateway.create(platformTestSettings, requestHeaderCodec, random);
    const follower = TableFollower.create(MonitoredStore.create(delayFeed(store, 50)), table, createDirectoryObserver(gateway, decodeServer), random, {
        pauseMs: () => 0,
        waitMs: () => 50,
        maxRetryDelayMs: () => 150,
        knownVersion: () => gateway.directory.version,
    });
    const abort = new AbortController();
    const name = (key: string) => ({ table, part: "", key });
    return { store, gateway, follower, abort, name, copies: [store.copy()], ready: () => gateway.directory.readyOf("desk").map(({ id }) => id) };
};

describe("upstream directory", () => {
    let clock: ReturnType<typeof install>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => {
        clock = install({ toFake: ["setTimeout", "clearTimeout", "Date", "performance"] });
    });
    afterEach(() => clock.uninstall());

    interface Case {
        readonly name: string;
        /** Changes and faults of the store, in order, with a pause after each. */
        readonly steps: readonly ((fixture: ReturnType<typeof createFixture>) => void)[];
        readonly pauseMs?: number;
        readonly ready: readonly string[];
    }
    const put = (key: string, value: Buffer | undefined) => (fixture: ReturnType<typeof createFixture>) => fixture.store.put(fixture.name(key), value);
    const setDown = (isDown: boolean) => ({ store }: ReturnType<typeof createFixture>) => {
        store.isDown = isDown;
    };
    /** As long as it takes to fail one call: a connection is lost, and the next one is answered. */
    const failBriefly = ({ store }: ReturnType<typeof createFixture>): void => {
        store.isDown = true;
        setTimeout(() => store.isDown = false, 51);
    };
    const copy = ({ store, copies }: ReturnType<typeof createFixture>) => void copies.push(store.copy());
    const restore = ({ store, copies }: ReturnType<typeof createFixture>) => store.restore(copies.at(-1)!);
    const cases: readonly Case[] = [
        { name: "offers a ready upstream for requests", steps: [put("u1", rowOf("ready"))], ready: ["u1"] },
        { name: "excludes a draining upstream from new requests", steps: [put("u1", rowOf("ready")), put("u1", rowOf("draining"))], ready: [] },
        { name: "removes the upstream of a deleted row at once", steps: [put("u1", rowOf("ready")), put("u1", undefined)], ready: [] },
        {
            name: "ignores an undecodable row and keeps the other upstreams",
            steps: [put("u1", rowOf("ready")), put("u2", Buffer.from("{")), put("u3", rowOf("sleepy"))],
            ready: ["u1"],
        },
        { name: "removes an upstream whose row becomes undecodable", steps: [put("u1", rowOf("ready")), put("u1", Buffer.from("nonsense"))], ready: [] },
        {
            name: "keeps an upstream whose row was deleted during a store outage for a grace period after it",
            steps: [put("u1", rowOf("ready")), setDown(true), put("u1", undefined), setDown(false)],
            ready: ["u1"],
        },
        {
            name: "removes an upstream whose row has not been written again two seconds after the store's return",
            steps: [put("u1", rowOf("ready")), setDown(true), put("u1", undefined), setDown(false), () => undefined],
            pauseMs: 1_500,
            ready: [],
        },
        {
            name: "removes an upstream at once if its row is deleted some time after the store's return",
            steps: [put("u1", rowOf("ready")), setDown(true), setDown(false), () => undefined, put("u1", undefined)],
            pauseMs: 1_100,
            ready: [],
        },
        {
            name: "removes an upstream at once if its row is deleted just after one call to the store has failed",
            steps: [put("u1", rowOf("ready")), put("u2", rowOf("ready")), failBriefly, put("u1", undefined)],
            pauseMs: 300,
            ready: ["u2"],
        },
        {
            name: "removes an upstream at once if its row is deleted just after the first read of the store has failed",
            steps: [failBriefly, put("u1", rowOf("ready")), put("u1", undefined)],
            pauseMs: 300,
            ready: [],
        },
        {
            name: "reads the whole table after the change feed has been compacted",
            steps: [put("u1", rowOf("ready")), put("u2", rowOf("ready")), ({ store, name }) => {
                store.isCompacted = true;
                store.put(name("u1"), undefined);
            }],
            ready: ["u2"],
        },
    ];
    const restoreCases: readonly Case[] = [
        {
            name: "applies a change that a restored store numbers below what the node knew",
            steps: [
                put("u1", rowOf("ready")),
                put("u2", rowOf("ready")),
                copy,
                put("u1", rowOf("ready", { slots: 5 })),
                put("u1", rowOf("ready", { slots: 6 })),
                put("u1", rowOf("ready", { slots: 7 })),
                restore,
                put("u1", rowOf("draining")),
            ],
            ready: ["u2"],
        },
        {
            name: "applies a removal that a restored store numbers below what the node knew",
            steps: [
                put("u1", rowOf("ready")),
                put("u2", rowOf("ready")),
                copy,
                put("u1", rowOf("ready", { slots: 5 })),
                put("u1", rowOf("ready", { slots: 6 })),
                put("u1", rowOf("ready", { slots: 7 })),
                restore,
                () => undefined,
                put("u1", undefined),
            ],
            pauseMs: 1_200,
            ready: ["u2"],
        },
        {
            name: "does not use a draining upstream again that a restored store has as ready",
            steps: [put("u1", rowOf("ready")), put("u2", rowOf("ready")), copy, put("u1", rowOf("draining")), restore],
            ready: ["u2"],
        },
        {
            name: "does not use a removed upstream again that a restored store has as ready",
            steps: [put("u1", rowOf("ready")), put("u2", rowOf("ready")), copy, put("u1", undefined), restore],
            ready: ["u2"],
        },
        {
            name: "uses a removed upstream again once it has written its row to the restored store",
            steps: [put("u1", rowOf("ready")), put("u2", rowOf("ready")), copy, put("u1", undefined), restore, put("u1", rowOf("ready", { slots: 5 }))],
            ready: ["u2", "u1"],
        },
        {
            name: "uses the next process of an upstream that was removed before the restore",
            steps: [put("u1", rowOf("ready")), copy, put("u1", undefined), restore, put("u1", rowOf("ready", { born: 6 }))],
            ready: ["u1"],
        },
        {
            name: "keeps an upstream whose row a restored store has lost for a grace period",
            steps: [put("u1", rowOf("ready")), copy, put("u2", rowOf("ready")), restore],
            ready: ["u1", "u2"],
        },
        {
            name: "removes an upstream that has not written its row to a restored store within the grace period",
            steps: [put("u1", rowOf("ready")), copy, put("u2", rowOf("ready")), restore, () => undefined],
            pauseMs: 1_500,
            ready: ["u1"],
        },
        {
            name: "follows a store that is restored twice",
            steps: [
                put("u1", rowOf("ready")),
                put("u2", rowOf("ready")),
                copy,
                put("u1", rowOf("ready", { slots: 5 })),
                put("u1", rowOf("ready", { slots: 6 })),
                restore,
                put("u1", rowOf("ready", { slots: 7 })),
                restore,
                put("u1", rowOf("draining")),
            ],
            ready: ["u2"],
        },
    ];
    for (const { name, steps, pauseMs = 400, ready } of [...cases, ...restoreCases]) {
        it(name, async () => {
            const fixture = createFixture();
            void fixture.follower.run(fixture.abort.signal);
            for (const step of steps) {
                step(fixture);
                await clock.tickAsync(pauseMs);
            }
            fixture.abort.abort();
            assert.deepEqual(fixture.ready(), ready);
        });
    }

    it("reads the whole table once after a restore", async () => {
        const fixture = createFixture();
        const { store, copies } = fixture;
        void fixture.follower.run(fixture.abort.signal);
        await clock.tickAsync(400);
        put("u1", rowOf("ready"))(fixture);
        await clock.tickAsync(400);
        const readsBefore = store.tableReads;
        store.restore(copies[0]!);
        await clock.tickAsync(3_000);
        fixture.abort.abort();
        assert.equal(store.tableReads - readsBefore, 1);
    });
});
