import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { createServer, Server } from "node:http";
import { after, before, describe, it } from "node:test";
import { PassingWaits } from "../src/core/passingWaits";
import { EventId } from "../src/types/eventId";
import { observeEvents, setupLogs } from "../src/utils/events";
import { listenOnAll } from "../src/utils/listenOn";
import { sleep } from "../src/utils/time";

const waitEvents: ReadonlySet<EventId> = new Set([EventId.NodeStartRetried, EventId.WaitPassed]);

interface WaitCase {
    readonly name: string;
    /** Reasons by the time from which they hold, in ms; none from the last one on. */
    readonly reasons: readonly (readonly [fromMs: number, reason: string])[];
    readonly passesAtMs?: number;
    readonly abortsAtMs?: number;
    /** Moves the time of day by this much after a second. */
    readonly clockStepMs?: number;
    readonly logged: readonly string[];
}

const waitCases: readonly WaitCase[] = [
    { name: "logs nothing if there is nothing to wait for", reasons: [], passesAtMs: 0, logged: [] },
    { name: "lasts for days", reasons: [[0, "a"]], passesAtMs: 200_000_000, logged: ["a", "passed"] },
    { name: "is logged when its reason changes", reasons: [[0, "a"], [2_000, "b"], [4_000, "a"]], passesAtMs: 6_000, logged: ["a", "b", "a", "passed"] },
    { name: "is logged every 10 s", reasons: [[0, "a"]], passesAtMs: 25_000, logged: ["a", "a", "a", "passed"] },
    { name: "ends without a value when it is aborted", reasons: [[0, "a"]], abortsAtMs: 5_000, logged: ["a"] },
    { name: "does not depend on the time of day", reasons: [[0, "a"]], passesAtMs: 8_000, clockStepMs: 3_600_000, logged: ["a", "passed"] },
    { name: "does not depend on a time of day that goes back", reasons: [[0, "a"]], passesAtMs: 8_000, clockStepMs: -3_600_000, logged: ["a", "passed"] },
];

/** A condition is noticed to have passed within this time: well under a second. */
const noticedWithinMs = 250;
const stepMs = 50;

describe("a wait for what may pass by itself", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    for (const { name, reasons, passesAtMs = Infinity, abortsAtMs, clockStepMs, logged } of waitCases) {
        it(name, async () => {
            const clock = install({ toFake: ["setTimeout", "clearTimeout", "performance", "Date"] });
            const lines: string[] = [];
            const stop = observeEvents((event, fields) => waitEvents.has(event) && lines.push(event === EventId.WaitPassed ? "passed" : String(fields.reason)));
            const abort = new AbortController();
            const waits = PassingWaits.create(abort.signal);
            const startedAt = performance.now();
            let endedAtMs: number | undefined;
            const wait = waits.run("x", () => {
                const nowMs = performance.now() - startedAt;
                const reason = reasons.findLast(([fromMs]) => nowMs >= fromMs)?.[1];
                return Promise.resolve(nowMs >= passesAtMs || reason === undefined ? { kind: "done", value: "value" } : { kind: "waiting", reason });
            });
            void wait.then(() => endedAtMs = performance.now() - startedAt);
            const endsAtMs = Math.min(passesAtMs, abortsAtMs ?? Infinity);
            const skipToMs = endsAtMs > 100_000 ? endsAtMs - 1_000 : 0;
            if (skipToMs > 0) {
                await clock.tickAsync(stepMs);
                clock.jump(skipToMs);
            }
            while (endedAtMs === undefined && performance.now() - startedAt < endsAtMs + noticedWithinMs) {
                await clock.tickAsync(stepMs);
                const nowMs = performance.now() - startedAt;
                if (clockStepMs !== undefined && nowMs === 1_000) {
                    clock.setSystemTime(Date.now() + clockStepMs);
                }
                if (abortsAtMs !== undefined && nowMs >= abortsAtMs) {
                    abort.abort();
                    await clock.tickAsync(0);
                }
                assert.equal(waits.longestMs > 0, endedAtMs === undefined && reasons.length > 0);
            }
            clock.uninstall();
            stop();
            assert.ok(endedAtMs !== undefined && endedAtMs >= endsAtMs && endedAtMs <= endsAtMs + noticedWithinMs, `ended at ${endedAtMs}`);
            assert.equal(await wait, abortsAtMs === undefined ? "value" : undefined);
            const isLong = skipToMs > 0;
            assert.deepEqual(isLong ? [lines[0], lines.at(-1)] : lines, logged);
        });
    }
});

/** A server whose first tries to listen fail with an error code. */
const failingServer = (code: string, failures: number): Server => {
    const server = createServer();
    let left = failures;
    server.listen = ((...args: Parameters<typeof server.listen>) => {
        if (left-- > 0) {
            process.nextTick(() => server.emit("error", Object.assign(new Error(code), { code })));
            return server;
        }
        return Server.prototype.listen.apply(server, args);
    }) as typeof server.listen;
    return server;
};

/** Longer than the first pauses between tries. */
const severalTriesMs = 500;

interface ListenCase {
    readonly code: string;
    readonly failures: number;
    readonly opens: boolean;
}

const listenCases: readonly ListenCase[] = [
    ...["EADDRINUSE", "EADDRNOTAVAIL", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EUNKNOWN"].map(code => ({ code, failures: 6, opens: true })),
    ...["EACCES", "EPERM", "EAFNOSUPPORT", "EPROTONOSUPPORT"].map(code => ({ code, failures: 1, opens: false })),
];

describe("guards against an end on an error of listen that passes", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    for (const { code, failures, opens } of listenCases) {
        it(`${code} ${opens ? "is waited for" : "ends the start, with no port left open"}`, async () => {
            const [sound, failing] = [createServer(), failingServer(code, failures)];
            const ports = [{ server: sound, address: "127.0.0.1:0" }, { server: failing, address: "127.0.0.1:0" }];
            const outcome = await listenOnAll(ports, PassingWaits.create()).catch((err: NodeJS.ErrnoException) => err.code);
            const listening = [sound.listening, failing.listening];
            const listeners = failing.listenerCount("listening");
            [sound, failing].forEach(server => server.close());
            assert.deepEqual({ outcome, listening }, { outcome: opens ? true : code, listening: [opens, opens] });
            assert.ok(listeners <= createServer().listenerCount("listening") + 1);
        });
    }

    // Guards against a wait that adds listeners with each try because listen throws instead of emitting an error.
    it("keeps no listeners while it waits for a port that is out of range", async () => {
        const server = createServer();
        const before = ["error", "listening"].map(event => server.listenerCount(event));
        const abort = new AbortController();
        const outcome = listenOnAll([{ server, address: "127.0.0.1:70000" }], PassingWaits.create(abort.signal));
        await sleep(severalTriesMs);
        abort.abort();
        assert.equal(await outcome, false);
        assert.deepEqual(["error", "listening"].map(event => server.listenerCount(event)), before);
    });
});
