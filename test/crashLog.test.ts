import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { CrashLog } from "../src/core/crashLog";
import { setupLogs } from "../src/utils/events";

const crashOf = (index: number, suspects: readonly (readonly string[])[], ageMs = 0) => ({ id: `r${index}`, ageMs, suspects, cleared: [] });

const hourMs = 3_600_000;

describe("the log of crashes", () => {
    let clock: ReturnType<typeof install>;
    let log: CrashLog;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => {
        clock = install({ toFake: ["performance", "setTimeout"] });
        clock.tick(hourMs);
        log = CrashLog.create();
        log.isTrialNode = () => true;
    });
    afterEach(() => clock.uninstall());

    /** Records crashes one second apart, each with one suspected request. */
    const crash = (parts: readonly string[], count: number): void => {
        for (let index = 0; index < count; index++) {
            log.add(crashOf(index, [[...parts, `s${index}`]]));
            clock.tick(1_000);
        }
    };

    interface Case {
        readonly name: string;
        readonly act: () => void;
        /** Whether a request with the parts `a` and `bad` is refused then. */
        readonly isBlocked: boolean;
    }

    const cases: readonly Case[] = [
        { name: "blocks after three crashes", act: () => crash(["bad"], 3), isBlocked: true },
        { name: "does not block after two", act: () => crash(["bad"], 2), isBlocked: false },
        {
            name: "counts the crash of one process once, however many nodes report it",
            act: () => [1, 2, 3, 4].forEach(ageMs => log.add(crashOf(0, [["bad", `s${ageMs}`]], ageMs))),
            isBlocked: false,
        },
        {
            name: "does not block a part that was answered just before the crashes",
            act: () => {
                log.onAnswered(["bad"], performance.now());
                crash(["bad"], 3);
                log.onAnswered(["bad"], performance.now() - 2_000);
            },
            isBlocked: false,
        },
        {
            name: "blocks a part that was answered long before the crashes",
            act: () => {
                log.onAnswered(["bad", "s0", "s1", "s2", "s3", "s4"], performance.now());
                clock.tick(10_000);
                crash(["bad"], 5);
            },
            isBlocked: true,
        },
        {
            name: "ends the quarantine of a part that was answered later",
            act: () => {
                crash(["bad"], 3);
                log.onAnswered(["bad"], performance.now());
            },
            isBlocked: false,
        },
        {
            name: "takes over that another node saw an answer",
            act: () => {
                crash(["bad"], 3);
                [0, 1, 2].forEach(index => log.add({ ...crashOf(index, []), cleared: ["bad"] }));
            },
            isBlocked: false,
        },
        {
            name: "forgets crashes after an hour",
            act: () => {
                crash(["bad"], 3);
                clock.tick(hourMs);
            },
            isBlocked: false,
        },
        {
            name: "keeps a quarantine when many other runners crash",
            act: () => {
                crash(["bad"], 3);
                for (let index = 3; index < 1_000; index++) {
                    log.add(crashOf(index, [[`other${index}`]]));
                    clock.tick(1_000);
                }
            },
            isBlocked: true,
        },
    ];

    for (const { name, act, isBlocked } of cases) {
        it(name, () => {
            act();
            assert.equal(log.findBlocking(["a", "bad"]) !== undefined, isBlocked);
            assert.equal(log.findBlocking(["a", "good"]), undefined, "another part");
        });
    }

    it("keeps a bounded number of crashes", () => {
        crash(["bad"], 2_000);
        assert.ok(log.changesSince(0).length <= 256);
    });

    it("allows one trial after a minute, and the next one after four more if a runner crashes again", () => {
        crash(["bad"], 3);
        const minuteMs = 60_000;
        const tryNow = (): boolean => log.startTrial(log.findBlocking(["bad"])!);
        clock.tick(minuteMs - 2_000);
        assert.equal(tryNow(), false, "too early");
        clock.tick(2_000);
        assert.deepEqual([tryNow(), tryNow()], [true, false], "one trial only");
        log.add(crashOf(3, [["bad"]]));
        clock.tick(3 * minuteMs);
        assert.equal(tryNow(), false, "too early for the second one");
        clock.tick(minuteMs);
        assert.equal(tryNow(), true);
        log.isTrialNode = () => false;
        clock.tick(minuteMs);
        assert.equal(tryNow(), false, "another node tries");
    });

    it("restores quarantines, without what else was in progress, from what is stored", () => {
        for (let index = 0; index < 4; index++) {
            log.add(crashOf(index, [[`x${index}`, "bad"], ["hot"]]));
            clock.tick(1_000);
        }
        const restored = CrashLog.create();
        log.durable.forEach(stored => restored.add(stored));
        assert.notEqual(restored.findBlocking(["bad"]), undefined);
        assert.equal(restored.findBlocking(["hot"]), undefined);
        assert.ok(JSON.stringify(log.durable).length < 1_000);
    });

    it("remembers answers on prompt parts while other requests come in any number", () => {
        log.onAnswered(["bad"], performance.now());
        clock.tick(10_000);
        for (let index = 0; index < 20_000; index++) {
            log.onAnswered([`request:${index}`], performance.now());
        }
        crash(["bad"], 3);
        assert.equal(log.findBlocking(["bad"]), undefined);
    });

    it("knows what crashes runners while other requests are lost in any number", () => {
        crash(["request:x"], 3);
        for (let index = 0; index < 1_000; index++) {
            log.add(crashOf(100 + index, [[`request:${index}`]]));
            clock.tick(200);
        }
        assert.notEqual(log.findBlocking(["request:x"]), undefined);
        assert.ok(log.changesSince(0).length <= 256);
    });
});
