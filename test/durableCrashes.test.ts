import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { ControllerLease } from "../src/core/controllerLease";
import { CrashLog } from "../src/core/crashLog";
import { setupLogs } from "../src/utils/events";
import { createRandom } from "../src/utils/random";
import { MemoryPlatformStore } from "./fakes/memoryPlatformStore";

const rules = { turnGapMs: 3_000, loadWindowMs: 5_000 };

describe("quarantines of prompt parts", () => {
    let clock: ReturnType<typeof install>;
    before(() => {
        setupLogs("silent");
        clock = install({ toFake: ["performance", "setTimeout"] });
    });
    after(() => {
        clock.uninstall();
        setupLogs("info");
    });

    it("are in force again after all nodes were killed at once", async () => {
        const store = MemoryPlatformStore.create(createRandom(1));
        store.lossShare = 0;
        const start = (name: string) => {
            const crashLog = CrashLog.create();
            return { crashLog, lease: ControllerLease.create(store, { holder: name, boot: name, peerAddress: name }, rules, undefined, crashLog) };
        };
        const first = start("n1");
        await first.lease.tick();
        for (let index = 0; index < 6; index++) {
            first.crashLog.add({ id: `r${index}`, ageMs: 0, suspects: [["bad", `x${index}`], ["hot"]], cleared: index < 3 ? ["hot"] : [] });
            await clock.tickAsync(500);
        }
        await first.lease.tick();
        await clock.tickAsync(60_000);
        const second = start("n2");
        await second.lease.tick();
        assert.notEqual(second.crashLog.findBlocking(["bad"]), undefined);
        assert.equal(second.crashLog.findBlocking(["hot"]), undefined);
        assert.equal(second.lease.heldEpoch !== undefined, true);
        const third = start("n3");
        await third.lease.tick();
        assert.notEqual(third.crashLog.findBlocking(["bad"]), undefined, "from the next holder's row");
        const ageMs = third.crashLog.durable.at(-1)!.ageMs;
        assert.ok(ageMs > 59_000 && ageMs < 64_000, `${ageMs} ms`);
    });
});
