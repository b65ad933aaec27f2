import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ChunkJoiner } from "../src/utils/chunkJoiner";

const large = "l".repeat(1_024);
const small = "s".repeat(1_000);

/** Chunks that are added before the end of a read, and the sizes of what is passed on. */
const cases: readonly { readonly name: string; readonly chunks: readonly string[]; readonly passed: readonly number[]; }[] = [
    { name: "nothing", chunks: [], passed: [] },
    { name: "one small chunk", chunks: ["a"], passed: [1] },
    { name: "small chunks", chunks: ["a", "bc", "d"], passed: [4] },
    { name: "a large chunk behind small ones", chunks: ["a", "b", large, "c"], passed: [2, 1_024, 1] },
    { name: "more than its buffer holds", chunks: Array<string>(66).fill(small), passed: [65_000, 1_000] },
];

/** Guards against bodies in small chunks that fill the memory with a buffer for each chunk, and against chunks that are lost, doubled or given to another body. */
describe("the joiner of chunks", () => {
    for (const { name, chunks, passed } of cases) {
        it(`passes on all bytes in order: ${name}`, () => {
            const received: Buffer[] = [];
            const joiner = ChunkJoiner.create(bytes => received.push(bytes));
            chunks.forEach(chunk => joiner.add(Buffer.from(chunk)));
            joiner.flush();
            assert.deepEqual(received.map(({ length }) => length), passed);
            assert.equal(Buffer.concat(received).toString(), chunks.join(""));
        });
    }

    it("keeps the chunks of two connections apart", () => {
        const received: string[] = [];
        const [first, second] = ["1", "2"].map(name => ChunkJoiner.create(bytes => received.push(`${name}${String(bytes)}`)));
        first!.add(Buffer.from("a"));
        first!.add(Buffer.from("b"));
        second!.add(Buffer.from("c"));
        first!.flush();
        second!.flush();
        assert.deepEqual(received, ["1ab", "2c"]);
    });

    it("does not change what it passed on", () => {
        const received: Buffer[] = [];
        const joiner = ChunkJoiner.create(bytes => received.push(bytes));
        for (const text of ["ab", "cd"]) {
            [...text].forEach(char => joiner.add(Buffer.from(char)));
            joiner.flush();
        }
        assert.deepEqual(received.map(String), ["ab", "cd"]);
    });

    it("passes on nothing of a connection that was closed", () => {
        const received: Buffer[] = [];
        const joiner = ChunkJoiner.create(bytes => received.push(bytes));
        joiner.add(Buffer.from("a"));
        joiner.drop();
        ChunkJoiner.create(() => undefined).add(Buffer.from("b"));
        joiner.flush();
        assert.deepEqual(received, []);
    });
});
