import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { MemoryBudget } from "../src/core/memoryBudget";
import { ReadAhead } from "../src/forward/readAhead";
import { MemoryHolder } from "../src/types/memoryHolder";

const limitBytes = 1_000_000;

/** A connection as far as its reading goes; like the runtime's, it can be resumed by others. */
class FakeSocket extends EventEmitter {
    destroyed = false;
    isReading = true;

    pause(): void {
        this.isReading = false;
    }

    resume(): void {
        this.isReading = true;
        this.emit("resume");
    }
}

const setUp = () => {
    const memory = MemoryBudget.create({ limitBytes: () => limitBytes, random: () => 0.5 });
    const cut: Socket[] = [];
    const state = { isStopping: false };
    const readAhead = ReadAhead.create(memory, socket => cut.push(socket), () => state.isStopping);
    const connect = () => {
        const socket = new FakeSocket();
        readAhead.open(socket as unknown as Socket);
        const send = (readableLength: number, complete = true): IncomingMessage => {
            const req = { socket, readableLength, complete } as unknown as IncomingMessage;
            readAhead.wait(req);
            return req;
        };
        return { socket, send, onRead: () => readAhead.onRead(socket as unknown as Socket) };
    };
    return { memory, cut, state, readAhead, connect, heldBytes: () => memory.usedBy(MemoryHolder.AheadBodies) };
};

/** Bodies that a caller sends behind a request that is being handled, in one read. */
const cases: readonly { readonly name: string; readonly bodies: readonly number[]; readonly isRead: boolean; }[] = [
    { name: "no request behind it", bodies: [], isRead: true },
    { name: "three requests without bodies", bodies: [0, 0, 0], isRead: true },
    { name: "four requests without bodies", bodies: [0, 0, 0, 0], isRead: false },
    { name: "a body of 16,383 bytes", bodies: [16_383], isRead: true },
    { name: "a body of 16,384 bytes", bodies: [16_384], isRead: false },
    { name: "two bodies of 8,192 bytes", bodies: [8_192, 8_192], isRead: false },
];

/** Guards against callers that fill the memory with bodies which they send ahead: the runtime goes on reading at the end of each request. */
describe("reading ahead", () => {
    for (const { name, bodies, isRead } of cases) {
        it(`${isRead ? "goes on" : "pauses"} behind ${name}, and counts it`, () => {
            const { connect, heldBytes, readAhead } = setUp();
            const { socket, send, onRead } = connect();
            const requests = bodies.map(bytes => send(bytes));
            onRead();
            assert.equal(socket.isReading, isRead);
            assert.equal(heldBytes(), bodies.reduce((sum, bytes) => sum + bytes, 0));
            socket.resume();
            assert.equal(socket.isReading, isRead, "resumed by the runtime");
            requests.forEach(req => assert.equal(readAhead.begin(req), true));
            assert.equal(socket.isReading, true, "after their turns");
            assert.equal(heldBytes(), 0);
        });
    }

    it("counts a body that arrives in several reads", () => {
        const { connect, heldBytes, readAhead } = setUp();
        const { socket, send, onRead } = connect();
        const req = send(1_000, false) as unknown as { readableLength: number; } & IncomingMessage;
        onRead();
        assert.deepEqual([socket.isReading, heldBytes()], [true, 1_000]);
        Object.assign(req, { readableLength: 20_000 });
        onRead();
        assert.deepEqual([socket.isReading, heldBytes()], [false, 20_000]);
        assert.equal(readAhead.begin(req), true);
        assert.deepEqual([socket.isReading, heldBytes()], [true, 0]);
    });

    it("gives back what a closed connection held", () => {
        const { connect, heldBytes } = setUp();
        const { socket, send, onRead } = connect();
        send(30_000);
        onRead();
        socket.destroyed = true;
        socket.emit("close");
        send(30_000);
        onRead();
        assert.equal(heldBytes(), 0);
    });

    it("cuts connections beyond a tenth of the memory, and only those that add to it", () => {
        const { connect, cut } = setUp();
        const connections = [1, 2].map(connect);
        connections.forEach(({ send, onRead }) => {
            send(60_000);
            onRead();
        });
        assert.deepEqual(cut, [connections[1]!.socket]);
    });

    it("takes no more of what was sent far ahead while the node stops", () => {
        const { connect, readAhead, state } = setUp();
        const { socket, send, onRead } = connect();
        const [whole, partial] = [send(16_384), send(4_096, false)];
        onRead();
        state.isStopping = true;
        assert.equal(readAhead.begin(whole), true, "a request that has arrived");
        assert.equal(socket.isReading, false);
        assert.equal(readAhead.begin(partial), false, "a request whose body has not");
        assert.equal(socket.isReading, true, "to discard the rest of the body");
    });
});
