import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { HeapWatch } from "../src/core/heapWatch";
import { EventId } from "../src/types/eventId";
import { observeEvents, setupLogs } from "../src/utils/events";

const megabyte = 1_048_576;
const heapLimit = 160 * megabyte;

describe("the watch of the heap", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    /** Sizes of the heap in MB, each a second after the last, and the seconds at which a line is written. */
    const cases: readonly { readonly name: string; readonly usedMb: readonly number[]; readonly loggedAtS: readonly number[]; }[] = [
        { name: "says nothing of an ordinary heap", usedMb: [20, 60, 100, 130, 20], loggedAtS: [] },
        { name: "says that the heap is near its limit", usedMb: [20, 150, 20], loggedAtS: [1] },
        { name: "says so again after some time", usedMb: [150, 150, 150, 150, 150, 150, 150], loggedAtS: [0, 5] },
    ];
    for (const { name, usedMb, loggedAtS } of cases) {
        it(name, () => {
            const clock = install();
            const seen: number[] = [];
            const stop = observeEvents((event, fields) => {
                assert.equal(event, EventId.HeapNearLimit);
                assert.deepEqual(fields, { heapUsedBytes: 150 * megabyte, heapLimitBytes: heapLimit, residentBytes: 1, inProgress: 7 });
                seen.push(clock.now / 1_000);
            });
            try {
                let heapUsed = 0;
                const watch = HeapWatch.create(() => ({ rss: 1, heapTotal: 1, heapUsed, heapLimit }), () => ({ inProgress: 7 }));
                for (const used of usedMb) {
                    heapUsed = used * megabyte;
                    watch.check();
                    clock.tick(1_000);
                }
                assert.deepEqual(seen, loggedAtS);
            }
            finally {
                stop();
                clock.uninstall();
            }
        });
    }
});
