import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { PartBuffer } from "../src/utils/partBuffer";
import { SseSplitter } from "../src/utils/sseSplitter";

const megabyte = 1_048_576;

setFlagsFromString("--expose-gc");
const collect = runInNewContext("gc") as () => void;
/** Memory of buffers; the second collection ends the sweeping of the first. */
const measure = (): number => {
    collect();
    collect();
    return process.memoryUsage().arrayBuffers;
};

describe("parts of a body", () => {
    it("are the same once joined, however the body is split", () => {
        fc.assert(
            fc.property(fc.array(fc.uint8Array({ maxLength: 3_000 }), { maxLength: 60 }), arrays => {
                const parts = PartBuffer.create();
                arrays.forEach(bytes => parts.add(Buffer.from(bytes)));
                const expected = Buffer.concat(arrays);
                assert.deepEqual(parts.join(), expected);
                assert.deepEqual(Buffer.concat(parts.blocks), expected);
                assert.equal(parts.bytes, expected.length);
                assert.ok(parts.heldBytes <= 2 * parts.bytes + 512, `${parts.heldBytes} for ${parts.bytes}`);
            }),
            { seed: 61 },
        );
    });

    const cases: readonly { readonly name: string; readonly create: () => { add(part: Buffer): void; }; }[] = [
        { name: "a body", create: () => PartBuffer.create() },
        {
            name: "an incomplete event",
            create: () => {
                const splitter = SseSplitter.create();
                return { add: part => void splitter.push(part) };
            },
        },
    ];
    for (const { name, create } of cases) {
        it(`do not keep the reads that they came with: ${name}`, () => {
            // A part of one byte a read, as the parser hands it over.
            const before = measure();
            const kept = create();
            for (let index = 0; index < 2_000; index++) {
                kept.add(Buffer.alloc(65_536, "x").subarray(100, 101));
            }
            const grownBytes = measure() - before;
            assert.ok(grownBytes < 16 * megabyte, `${Math.round(grownBytes / megabyte)} MB for 2,000 bytes`);
            kept.add(Buffer.from("x"));
        });
    }
});
