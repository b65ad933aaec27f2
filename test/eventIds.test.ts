import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SseSplitter } from "../src/utils/sseSplitter";

/** Guards against a stream that is resumed after something that is no event ID, and so repeats events: its last bytes held no ID. */
describe("ID of the last event of a stream", () => {
    const cases: readonly { readonly name: string; readonly chunks: readonly string[]; readonly id: string | undefined; }[] = [
        { name: "is unknown before the first event", chunks: [], id: undefined },
        { name: "is unknown after events without one", chunks: ["data: x\n\n"], id: undefined },
        { name: "is that of the only event", chunks: ["id: 1\ndata: x\n\n"], id: "1" },
        { name: "is that of the last of several events", chunks: ["id: 1\ndata: x\n\nid: 2\ndata: y\n\n"], id: "2" },
        { name: "stays after a comment", chunks: ["id: 5\ndata: x\n\n", ": keep-alive\n\n"], id: "5" },
        { name: "stays after an event without one", chunks: ["id: 5\ndata: x\n\n", "event: end\ndata: y\n\n"], id: "5" },
        { name: "stays after an event that only mentions one", chunks: ["id: 5\ndata: x\n\n", "data: id: 7\n\n"], id: "5" },
        { name: "is found behind other fields", chunks: ["event: e\nid: 6\ndata: x\n\n"], id: "6" },
        { name: "is found at lines that end in CRLF", chunks: ["id: 8\r\ndata: x\r\n\r\n", ": c\r\n\r\n"], id: "8" },
    ];
    for (const { name, chunks, id } of cases) {
        it(name, () => {
            const splitter = SseSplitter.create();
            chunks.forEach(chunk => splitter.push(Buffer.from(chunk)));
            assert.equal(splitter.lastEventId, id);
        });
    }
});
