import fc from "fast-check";
import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { createServer } from "node:http";
import type { Socket } from "node:net";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { maxSmallBodyBytes } from "../src/core/memoryBudget";
import { MemoryHolder } from "../src/types/memoryHolder";
import { setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import type { TestGateway } from "./fakes/gatewayHarness";
import { startGateway } from "./fakes/gatewayHarness";
import { portOf } from "./fakes/jsonServer";
import type { Sending } from "./fakes/sendParts";
import { chunkOf, cutAt, headOf, sendParts } from "./fakes/sendParts";

const maxBodyBytes = 90_000;
const lastChunk = "0\r\n\r\n";
/** Shares of the memory that leave room for small bodies alone, and for none. */
const smallOnlyShare = 0.65;
const fullShare = 0.72;
/** Time for which the memory is full. */
const fullMs = 150;
/** Bytes that the runtime reads ahead of a body that waits, without pausing its connection. */
const firstPartBytes = 12_000;
/** Callers that together send more than one turn of the event loop reads. */
const callersAtOnce = 12;

const digestOf = (body: Buffer): string => createHash("sha1").update(body).digest("hex");

const bodyOf = (bytes: number): Buffer => Buffer.from([...Array(bytes).keys()].map(index => index * 7 + (index >> 8)));

/** Guards against a body whose end arrives while its reading is paused: its caller got no answer. */
describe("a body that is sent in chunks", () => {
    const upstream = createServer((req, res) => {
        const hash = createHash("sha1");
        req.on("data", (chunk: Buffer) => hash.update(chunk));
        req.on("end", () => {
            const body = hash.digest("hex");
            res.writeHead(200, { "Attempt-Id": req.headers["attempt-id"] ?? "", "Server-Seal": "s", "Content-Length": body.length });
            res.end(body);
        });
    });
    let node: TestGateway;
    before(async () => {
        setupLogs("silent");
        await new Promise<void>(resolve => upstream.listen(0, "127.0.0.1", resolve));
        node = await startGateway([`127.0.0.1:${portOf(upstream)}`], { timeoutMs: 9_000 });
        const config = node.gateway.config!;
        node.gateway.applyConfig({ ...config, version: 2, limits: { ...config.limits, maxBodyBytes } }, Buffer.from(""));
    });
    after(() => {
        node.close();
        upstream.close();
        upstream.closeAllConnections();
        setupLogs("info");
    });

    const open = (): Socket => {
        const socket = connect(Number(node.address.split(":")[1]), "127.0.0.1");
        socket.on("error", () => undefined);
        return socket;
    };

    /** Fills a share of the memory until the returned function is called. */
    const fillMemory = async (share: number): Promise<() => void> => {
        const { memory } = node.gateway;
        const bytes = Math.round(share * memory.limitBytes);
        const held = await memory.requestBody(1, 0, new AbortController().signal);
        memory.charge(MemoryHolder.Answers, bytes);
        return () => {
            memory.charge(MemoryHolder.Answers, -bytes);
            assert.ok(held.isGranted);
            held.release();
        };
    };

    const assertAnswered = async (socket: Socket, body: Buffer, sending: Sending): Promise<void> => {
        const answer = await sendParts(socket, sending);
        assert.deepEqual(answer.status, body.length <= maxBodyBytes ? 200 : 413);
        if (answer.status === 200) {
            assert.equal(answer.body, digestOf(body));
        }
    };

    interface Case {
        readonly name: string;
        readonly partsOf: (body: Buffer) => readonly (Buffer | string)[];
        readonly pauseMs?: number;
        /** Share of the memory that is full for a time. */
        readonly fullShare?: number;
    }
    const chunkedHead = headOf("Transfer-Encoding: chunked");
    const statedHead = (body: Buffer): string => headOf(`Content-Length: ${body.length}`);
    const cases: readonly Case[] = [
        { name: "one chunk, all at once", partsOf: body => [Buffer.concat([Buffer.from(chunkedHead), chunkOf(body), Buffer.from(lastChunk)])] },
        { name: "one chunk, its end in a later packet", partsOf: body => [chunkedHead, chunkOf(body), lastChunk], pauseMs: 20 },
        {
            name: "a last chunk that begins at the bound of a small body",
            partsOf: body => [chunkedHead, ...cutAt(body, [maxSmallBodyBytes]).map(chunkOf), lastChunk],
        },
        {
            name: "a last chunk that begins at the bound, after a pause",
            partsOf: body => [chunkedHead, ...cutAt(body, [maxSmallBodyBytes]).map(chunkOf), lastChunk],
            pauseMs: 20,
        },
        {
            name: "a last chunk of one byte, with the end of the body",
            partsOf: body => [chunkedHead, chunkOf(body.subarray(0, -1)), Buffer.concat([chunkOf(body.subarray(-1)), Buffer.from(lastChunk)])],
            pauseMs: 20,
        },
        {
            name: "one chunk, with a wait for memory",
            partsOf: body => [Buffer.concat([Buffer.from(chunkedHead), chunkOf(body), Buffer.from(lastChunk)])],
            fullShare: smallOnlyShare,
        },
        {
            name: "a last chunk of one byte, with a wait for memory",
            partsOf: body => [chunkedHead, chunkOf(body.subarray(0, -1)), Buffer.concat([chunkOf(body.subarray(-1)), Buffer.from(lastChunk)])],
            pauseMs: 20,
            fullShare: smallOnlyShare,
        },
        {
            name: "read ahead with its end while it waits for memory",
            partsOf: body => [
                chunkedHead,
                chunkOf(body.subarray(0, firstPartBytes)),
                Buffer.concat([chunkOf(body.subarray(firstPartBytes)), Buffer.from(lastChunk)]),
            ],
            pauseMs: 20,
            fullShare,
        },
        { name: "with trailers", partsOf: body => [chunkedHead, chunkOf(body), "0\r\nSum: 1\r\n\r\n"] },
        { name: "a stated length", partsOf: body => [statedHead(body), body] },
        { name: "a stated length, the last byte later", partsOf: body => [statedHead(body), body.subarray(0, -1), body.subarray(-1)], pauseMs: 20 },
        { name: "a stated length, with a wait for memory", partsOf: body => [statedHead(body), body], fullShare },
    ];
    const sizes = [1, maxSmallBodyBytes - 1, maxSmallBodyBytes, maxSmallBodyBytes + 1, maxBodyBytes - 1, maxBodyBytes, maxBodyBytes + 1];
    for (const { name, partsOf, pauseMs, fullShare: share } of cases) {
        for (const bytes of sizes) {
            it(`is answered: ${name}, ${bytes} bytes`, async () => {
                const freeMemory = share === undefined ? undefined : await fillMemory(share);
                const freed = freeMemory && sleep(fullMs).then(freeMemory);
                const socket = open();
                const body = bodyOf(bytes);
                try {
                    await assertAnswered(socket, body, { parts: partsOf(body), pauseMs });
                }
                finally {
                    socket.destroy();
                    await freed;
                }
            });
        }
    }

    for (const bytes of sizes) {
        it(`is answered beside others that are sent at once, ${bytes} bytes`, async () => {
            const body = bodyOf(bytes);
            const message = Buffer.concat([Buffer.from(chunkedHead), chunkOf(body), Buffer.from(lastChunk)]);
            const sockets = [...Array(callersAtOnce).keys()].map(open);
            try {
                await Promise.all(sockets.map(socket => assertAnswered(socket, body, { parts: [message] })));
            }
            finally {
                sockets.forEach(socket => socket.destroy());
            }
        });
    }

    const emptyCases: readonly { readonly name: string; readonly parts: readonly string[]; readonly pauseMs?: number; }[] = [
        { name: "an empty body", parts: [chunkedHead + lastChunk] },
        { name: "an empty body, its end later", parts: [chunkedHead, lastChunk], pauseMs: 20 },
        { name: "an empty body with trailers", parts: [`${chunkedHead}0\r\nSum: 1\r\n\r\n`] },
        { name: "no body", parts: [headOf("Accept: */*")] },
        { name: "a stated length of 0", parts: [headOf("Content-Length: 0")] },
        { name: "an empty body whose caller waits for 100", parts: [headOf("Transfer-Encoding: chunked\r\nExpect: 100-continue"), lastChunk], pauseMs: 20 },
    ];
    for (const { name, parts, pauseMs } of emptyCases) {
        it(`is answered: ${name}`, async () => {
            const socket = open();
            await assertAnswered(socket, Buffer.alloc(0), { parts, pauseMs });
            socket.destroy();
        });
    }

    it("is answered: byte by byte up to the bound of a small body and beyond", async () => {
        const body = bodyOf(maxSmallBodyBytes + 2);
        const socket = open();
        const bytes = Buffer.concat([
            chunkOf(body.subarray(0, maxSmallBodyBytes - 3)),
            ...cutAt(body.subarray(maxSmallBodyBytes - 3), [1, 2, 3, 4]).map(chunkOf),
        ]);
        const tail = [...bytes.subarray(-40)].map(byte => Buffer.from([byte]));
        await assertAnswered(socket, body, { parts: [chunkedHead, bytes.subarray(0, -40), ...tail, ..."0\r\n\r\n"], pauseMs: 1 });
        socket.destroy();
    });

    it("is answered however it is cut, on a kept connection", async () => {
        const near = (bound: number): fc.Arbitrary<number> => fc.integer({ min: bound - 3, max: bound + 3 });
        const size = fc.oneof(near(maxSmallBodyBytes), near(maxBodyBytes - 3), fc.integer({ min: 1, max: maxBodyBytes }));
        const positions = fc.array(fc.oneof(near(maxSmallBodyBytes), fc.integer({ min: 1, max: maxBodyBytes })), { maxLength: 6 });
        const socket = open();
        await fc.assert(
            fc.asyncProperty(size, positions, positions, fc.constantFrom(undefined, 0, 3), async (bytes, chunkCuts, packetCuts, pauseMs) => {
                const body = bodyOf(bytes);
                const message = Buffer.concat([Buffer.from(chunkedHead), ...cutAt(body, chunkCuts).map(chunkOf), Buffer.from(lastChunk)]);
                await assertAnswered(socket, body, { parts: cutAt(message, packetCuts), pauseMs });
            }),
            { numRuns: 60, endOnFailure: true },
        );
        socket.destroy();
    });
});
