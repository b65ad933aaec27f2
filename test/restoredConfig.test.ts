import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { MonitoredStore } from "../src/core/monitoredStore";
import { TableFollower } from "../src/core/tableFollower";
import { Gateway } from "../src/forward/gateway";
import { createConfigObserver } from "../src/forward/storeObservers";
import { decodeConfig } from "../src/platform/configDecoder";
import { requestHeaderCodec } from "../src/platform/requestHeaderCodec";
import { setupLogs } from "../src/utils/events";
import { createRandom } from "../src/utils/random";
import { delayFeed } from "./fakes/delayFeed";
import { platformTestSettings } from "./fakes/gatewayHarness";
import { MemoryPlatformStore } from "./fakes/memoryPlatformStore";

const table = "op";
const key = "config";
const feedDelayMs = 50;
const limits = { maxHeaderBytes: 8_192, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 };
const configOf = (version: number): Buffer => Buffer.from(JSON.stringify({ version, routes: [], services: [], limits }));

describe("configuration after a restore of the store", () => {
    let clock: ReturnType<typeof install>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => clock = install({ toFake: ["performance", "setTimeout", "clearTimeout"] }));
    afterEach(() => clock.uninstall());

    interface Case {
        readonly name: string;
        /** Versions that operators publish between the copy and the restore, and after it. */
        readonly lost: readonly number[];
        readonly written: readonly number[];
        readonly inForce: number;
    }
    const cases: readonly Case[] = [
        { name: "the one of the copy does not replace a newer one", lost: [7, 8], written: [], inForce: 8 },
        { name: "the newer one stays when it is written again", lost: [7, 8], written: [8], inForce: 8 },
        { name: "the next one is in force, under a version of the store that was given out before", lost: [7, 8, 10], written: [12], inForce: 12 },
        { name: "writing the versions again in order never goes back", lost: [7, 8], written: [7, 8], inForce: 8 },
    ];
    for (const { name, lost, written, inForce } of cases) {
        it(name, async () => {
            const random = createRandom(1);
            const store = MemoryPlatformStore.create(random);
            store.lossShare = 0;
            const gateway = Gateway.create(platformTestSettings, requestHeaderCodec, random);
            const abort = new AbortController();
            void TableFollower.create(
                MonitoredStore.create(delayFeed(store, feedDelayMs)),
                table,
                createConfigObserver(gateway, key, decodeConfig, () => undefined),
                random,
            ).run(
                abort.signal,
            );
            const versions: number[] = [];
            const publish = async (version: number): Promise<void> => {
                store.put({ table, part: "", key }, configOf(version));
                await clock.tickAsync(400);
                versions.push(gateway.config!.version);
            };
            await publish(5);
            const copy = store.copy();
            for (const version of lost) {
                await publish(version);
            }
            store.restore(copy);
            await clock.tickAsync(400);
            for (const version of written) {
                await publish(version);
            }
            abort.abort();
            assert.equal(gateway.config!.version, inForce);
            assert.deepEqual(versions, versions.toSorted((a, b) => a - b), "never an older one");
        });
    }
});
