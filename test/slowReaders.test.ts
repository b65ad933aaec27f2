import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import type { UnreadStream } from "../src/core/slowReaders";
import { SlowReaders } from "../src/core/slowReaders";
import { setupLogs } from "../src/utils/events";

const limitBytes = 1_000;

/** Guards against unread events that exceed the memory, and against cuts of the wrong stream. */
describe("events that slow readers have not taken", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    interface Case {
        readonly name: string;
        /** Writes of streams by their index. */
        readonly writes: readonly (readonly [stream: number, bytes: number])[];
        /** Bytes that the callers have taken in the end, by stream, before the last write. */
        readonly taken?: Readonly<Record<number, number>>;
        readonly cut: readonly number[];
    }
    const cases: readonly Case[] = [
        { name: "are all kept while there is room", writes: [[0, 500], [1, 500]], cut: [] },
        { name: "cut the stream that holds the most, not the newest", writes: [[0, 600], [1, 300], [2, 200]], cut: [0] },
        { name: "cut the stream that grows if it holds the most", writes: [[0, 300], [1, 600], [1, 200]], cut: [1] },
        { name: "cut as many as needed, the larger first", writes: [[0, 300], [1, 400], [2, 300], [3, 700]], cut: [3] },
        { name: "cut several", writes: [[0, 350], [1, 400], [2, 250], [3, 390]], cut: [1] },
        { name: "do not count what callers have taken meanwhile", writes: [[0, 600], [1, 300], [2, 200]], taken: { 0: 500 }, cut: [] },
        { name: "are judged by what callers have taken meanwhile", writes: [[0, 500], [1, 450], [2, 400]], taken: { 0: 200 }, cut: [1] },
        { name: "cut a stream that exceeds all of the memory", writes: [[0, 1_200]], cut: [0] },
    ];
    for (const { name, writes, taken = {}, cut: expected } of cases) {
        it(name, () => {
            let charged = 0;
            const readers = SlowReaders.create({ untakenLimitBytes: limitBytes, charge: (...[, bytes]) => charged += bytes });
            const held = new Map<number, number>();
            const cut: number[] = [];
            const streams = [0, 1, 2, 3].map((index): UnreadStream => ({
                request: `id-${index}`,
                unreadBytes: () => held.get(index) ?? 0,
                cut: () => {
                    held.delete(index);
                    cut.push(index);
                },
            }));
            writes.forEach(([index, bytes], step) => {
                if (step === writes.length - 1) {
                    Object.entries(taken).forEach(([stream, count]) => held.set(Number(stream), held.get(Number(stream))! - count));
                }
                if (readers.admit(streams[index]!, bytes)) {
                    held.set(index, (held.get(index) ?? 0) + bytes);
                    readers.count(streams[index]!, held.get(index)!);
                }
                assert.ok(readers.usedBytes <= limitBytes, `${readers.usedBytes} bytes`);
            });
            assert.deepEqual(cut, expected);
            streams.forEach(stream => readers.remove(stream));
            assert.deepEqual([readers.usedBytes, readers.size, charged], [0, 0, 0]);
        });
    }
});
