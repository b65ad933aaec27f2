import fc from "fast-check";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { AnswerMemory } from "../src/core/answerMemory";
import { setupLogs } from "../src/utils/events";
import { SseSplitter } from "../src/utils/sseSplitter";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import { endlessTroubles, startTroubledServer } from "./fakes/troubledServer";

const maxBytes = 1_000;

describe("memory for answers", () => {
    /** Sizes by which requests grow in turn, by the request's index. */
    interface Case {
        readonly name: string;
        readonly grows: readonly (readonly [request: number, bytes: number])[];
        readonly allowed: readonly boolean[];
    }
    const cases: readonly Case[] = [
        { name: "lets one answer take all of it", grows: [[0, 1_000]], allowed: [true] },
        { name: "gives up an answer that takes more", grows: [[0, 1_000], [0, 1]], allowed: [true, false] },
        { name: "lets small answers grow while it is short", grows: [[0, 900], [1, 200], [2, 300]], allowed: [true, true, true] },
        { name: "gives up the answer that holds more than its share", grows: [[0, 900], [1, 200], [0, 100], [1, 100]], allowed: [true, true, false, true] },
        { name: "gives up the second one that exceeds its share", grows: [[0, 450], [1, 450], [1, 200]], allowed: [true, true, false] },
    ];
    for (const { name, grows, allowed } of cases) {
        it(name, () => {
            const memory = AnswerMemory.create(() => maxBytes, () => undefined);
            const holds = [memory.open(), memory.open(), memory.open()];
            assert.deepEqual(grows.map(([request, bytes]) => holds[request]!.grow(bytes)), allowed);
            holds.forEach(hold => hold.release());
            assert.equal(memory.used, 0);
        });
    }

    it("holds at most twice its limit, if answers are given up when told to", () => {
        const step = fc.record({ request: fc.nat(19), bytes: fc.integer({ min: 1, max: 40 }), ends: fc.boolean() });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 400 }), steps => {
                const memory = AnswerMemory.create(() => maxBytes, () => undefined);
                const holds = [...Array(20).keys()].map(() => memory.open());
                for (const { request, bytes, ends } of steps) {
                    if (!holds[request]!.grow(bytes) || ends) {
                        holds[request]!.release();
                    }
                    assert.ok(memory.used <= 2 * maxBytes, `${memory.used} bytes`);
                }
            }),
            { seed: 37 },
        );
    });
});

describe("events of a stream", () => {
    it("are the same however their bytes are split", () => {
        const line = fc.constantFrom("id: 1", "id: 22", "data: some text", "data:", "event: end", ": a comment");
        const event = fc.array(line, { minLength: 1, maxLength: 4 });
        const ending = fc.constantFrom("\n", "\r\n");
        fc.assert(
            fc.property(fc.array(event, { maxLength: 8 }), ending, fc.array(fc.integer({ min: 1, max: 30 })), (events, lineEnd, sizes) => {
                const text = events.map(lines => lines.join(lineEnd) + lineEnd + lineEnd).join("") + "data: cut";
                const whole = SseSplitter.create();
                const expected = whole.push(Buffer.from(text)).toString();
                const split = SseSplitter.create();
                let received = "";
                for (let from = 0, index = 0; from < text.length; index++) {
                    const size = sizes[index] ?? 7;
                    received += split.push(Buffer.from(text.slice(from, from + size))).toString();
                    from += size;
                }
                assert.equal(received, expected);
                assert.deepEqual([split.lastEventId, split.partialBytes], [whole.lastEventId, whole.partialBytes]);
            }),
            { seed: 37 },
        );
    });

    it("are joined from many small pieces", () => {
        const splitter = SseSplitter.create();
        const text = `data: ${"x".repeat(5_000)}\n\n`;
        const received = [...text].map(char => splitter.push(Buffer.from(char)).toString()).join("");
        assert.deepEqual([received, splitter.partialBytes], [text, 0]);
    });
});

describe("an attempt that has proved to be no answer", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    const timeoutMs = 2_000;

    it("ends at once: informational answers without end", async () => {
        const server = await startTroubledServer(endlessTroubles["informational answers without end"]!);
        const { address, close } = await startGateway([server.address], { timeoutMs });
        try {
            const { status, afterMs } = await callGateway(address);
            assert.equal(status, 502);
            assert.ok(afterMs < timeoutMs / 2, `${Math.round(afterMs)} ms`);
        }
        finally {
            server.close();
            close();
        }
    });
});
