import assert from "node:assert/strict";
import { EventEmitter, once } from "node:events";
import type { ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { connect, createServer } from "node:net";
import { buffer } from "node:stream/consumers";
import { describe, it } from "node:test";
import { MemoryBudget } from "../src/core/memoryBudget";
import { BodyMemory } from "../src/forward/bodyMemory";
import { MemoryHolder } from "../src/types/memoryHolder";
import { MappedBuffer } from "../src/utils/mappedBuffer";
import { waitFor } from "./fakes/processes";

const bodyBytes = 3_000_000;

const startBody = async (closed = false): Promise<{ readonly memory: BodyMemory; readonly heldBytes: () => number; close(): void; }> => {
    const budget = MemoryBudget.create({ limitBytes: () => 10 * bodyBytes, random: () => 0.5 });
    const grant = await budget.requestBody(bodyBytes, 0, new AbortController().signal);
    assert.ok(grant.isGranted);
    const res = Object.assign(new EventEmitter(), { closed });
    const memory = BodyMemory.create(res as unknown as ServerResponse, grant, bodyBytes);
    return { memory, heldBytes: () => budget.usedBy(MemoryHolder.Bodies), close: () => void res.emit("close") };
};

/** A connection whose other end reads only when asked to. */
const openConnection = async (): Promise<{ readonly sender: Socket; readonly receiver: Socket; close(): void; }> => {
    const server = createServer({ pauseOnConnect: true });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const accepted = once(server, "connection");
    const sender = connect((server.address() as AddressInfo).port, "127.0.0.1");
    const [receiver] = await accepted as [Socket];
    const close = (): void => {
        sender.destroy();
        receiver.destroy();
        server.close();
    };
    return { sender, receiver, close };
};

describe("the memory of a large body", () => {
    it("is given back to the system at once, not with a later collection", () => {
        const buffers = [...Array(30).keys()].map(() => MappedBuffer.create(bodyBytes));
        buffers.forEach(({ bytes }) => bytes.fill(1));
        const filledRss = process.memoryUsage.rss();
        buffers.forEach(buffer => buffer.shrinkTo(0));
        assert.ok(filledRss - process.memoryUsage.rss() >= 0.9 * 30 * bodyBytes);
        assert.deepEqual(buffers.map(({ bytes }) => bytes.length), buffers.map(() => 0));
    });

    it("keeps its first bytes when the rest is given back", () => {
        const buffer = MappedBuffer.create(bodyBytes);
        buffer.bytes.fill("x");
        buffer.shrinkTo(100_000);
        assert.deepEqual(buffer.bytes, Buffer.alloc(100_000, "x"));
    });

    it("is held until the response is closed", async () => {
        const { memory, heldBytes, close } = await startBody();
        memory.shrinkTo(2_000_000);
        assert.deepEqual([heldBytes(), memory.bytes.length], [2_000_000, 2_000_000]);
        close();
        assert.deepEqual([heldBytes(), memory.bytes.length], [0, 0]);
    });

    it("is not counted if it cannot be mapped", async () => {
        const budget = MemoryBudget.create({ limitBytes: () => 10 * bodyBytes, random: () => 0.5 });
        const grant = await budget.requestBody(bodyBytes, 0, new AbortController().signal);
        assert.ok(grant.isGranted);
        const res = Object.assign(new EventEmitter(), { closed: false }) as unknown as ServerResponse;
        assert.throws(() => BodyMemory.create(res, grant, Number.MAX_SAFE_INTEGER), RangeError);
        assert.equal(budget.usedBytes, 0);
    });

    it("is given back at once where the response is closed already", async () => {
        const { memory, heldBytes } = await startBody(true);
        assert.deepEqual([heldBytes(), memory.bytes.length], [0, 0]);
    });

    // Guards against a connection that breaks in its next request, because the bytes of its previous one vanished.
    it("is held while a connection still sends it after an early answer", async () => {
        const { memory, heldBytes, close } = await startBody();
        const connection = await openConnection();
        try {
            memory.bytes.fill("x");
            memory.onSend(connection.sender);
            connection.sender.end(memory.bytes);
            close();
            assert.equal(heldBytes(), bodyBytes);
            const received = await buffer(connection.receiver);
            assert.ok(received.equals(Buffer.alloc(bodyBytes, "x")));
            await waitFor("memory that is given back", () => heldBytes() === 0, 2_000);
        }
        finally {
            connection.close();
        }
    });

    it("is given back when a connection that sends it is closed", async () => {
        const { memory, heldBytes, close } = await startBody();
        const connection = await openConnection();
        try {
            memory.onSend(connection.sender);
            connection.sender.write(memory.bytes);
            close();
            assert.equal(heldBytes(), bodyBytes);
            connection.sender.destroy();
            await waitFor("memory that is given back", () => heldBytes() === 0, 2_000);
            assert.deepEqual([connection.sender.listenerCount("drain"), memory.bytes.length], [0, 0]);
        }
        finally {
            connection.close();
        }
    });
});
