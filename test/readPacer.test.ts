import assert from "node:assert/strict";
import { once } from "node:events";
import type { AddressInfo, Socket } from "node:net";
import { connect, createServer } from "node:net";
import { after, describe, it } from "node:test";
import { ReadPacer } from "../src/utils/readPacer";

const closers: (() => void)[] = [];

/** A connection whose other side has written the bytes and, if told to, closed it. */
const openPaced = async (pacer: ReadPacer, bytes: Buffer, isEnded: boolean): Promise<Socket> => {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.write(bytes);
        if (isEnded) {
            socket.end();
        }
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    closers.push(() => {
        socket.destroy();
        server.close();
    });
    await once(socket, "connect");
    pacer.pace(socket);
    return socket;
};

/** Bytes that take a millisecond: work that grows with what is read, as that of small pieces does. */
const bytesOfMs = 8_192;

const busyWait = (ms: number): void => {
    const endAt = performance.now() + ms;
    while (performance.now() < endAt) {
        // Takes as long as many small parts.
    }
};

/** Reads a connection as the HTTP client does, with work for each read. */
const readAll = (socket: Socket, work: (bytes: Buffer) => void): Promise<Buffer> =>
    new Promise(resolve => {
        const parts: Buffer[] = [];
        socket.on("readable", () => {
            const next = (): Buffer | undefined => socket.read() as Buffer | undefined;
            for (let bytes = next(); bytes; bytes = next()) {
                parts.push(bytes);
                work(bytes);
            }
        });
        socket.on("end", () => resolve(Buffer.concat(parts)));
    });

const patternOf = (length: number): Buffer => Buffer.from([...Array(length).keys()].map(index => index % 251));

/** Guards against turns of the event loop that take as long as one connection has something to deliver. */
describe("a paced connection", () => {
    after(() => closers.forEach(close => close()));

    const cases: readonly { readonly name: string; readonly bytes: number; readonly workMs: number; }[] = [
        { name: "few bytes", bytes: 100, workMs: 0 },
        { name: "many bytes with little work", bytes: 3_000_000, workMs: 0 },
        { name: "many bytes with much work", bytes: 300_000, workMs: 2 },
    ];
    for (const { name, bytes, workMs } of cases) {
        it(`delivers all bytes in order, and its end after them: ${name}`, async () => {
            const sent = patternOf(bytes);
            const socket = await openPaced(ReadPacer.create(), sent, true);
            assert.deepEqual(await readAll(socket, () => busyWait(workMs)), sent);
        });
    }

    it("lets timers and other connections have their turns between its reads", async () => {
        const pacer = ReadPacer.create();
        const sent = patternOf(400_000);
        const busy = await Promise.all(Array.from({ length: 8 }, () => openPaced(pacer, sent, true)));
        let workMs = 0;
        let longestMs = 0;
        const reading = Promise.all(busy.map(socket =>
            readAll(socket, bytes => {
                const ms = bytes.length / bytesOfMs;
                busyWait(ms);
                workMs += ms;
            })
        ));
        const timer = setInterval(() => {
            longestMs = Math.max(longestMs, workMs);
            workMs = 0;
        }, 1);
        const received = await reading;
        clearInterval(timer);
        received.forEach(bytes => assert.equal(bytes.length, sent.length));
        assert.ok(pacer.pauses > 0);
        // Without pacing a connection would keep the loop for all that has arrived, 8 of them for about 190 ms of work.
        assert.ok(longestMs > 0 && longestMs < 100, `${Math.round(longestMs)} ms`);
    });

    it("delivers what arrived before a reset", async () => {
        const sent = patternOf(30_000);
        const server = createServer(socket => {
            socket.write(sent);
            // The reset arrives while the reader works.
            setTimeout(() => socket.resetAndDestroy(), 10);
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        closers.push(() => server.close());
        ReadPacer.create().pace(socket);
        const parts: Buffer[] = [];
        const closed = new Promise(resolve => socket.once("close", resolve));
        socket.on("error", () => undefined);
        void readAll(socket, bytes => {
            parts.push(bytes);
            busyWait(30);
        });
        await closed;
        assert.deepEqual(Buffer.concat(parts), sent);
    });

    it("takes the end at once if nothing is left to read", async () => {
        const pacer = ReadPacer.create();
        const socket = await openPaced(pacer, patternOf(100), true);
        await readAll(socket, () => busyWait(5));
        assert.equal(pacer.pauses, 0);
    });

    it("waits for a later turn if many connections have little to deliver each", async () => {
        const pacer = ReadPacer.create();
        const sent = patternOf(3_000);
        const sockets = await Promise.all(Array.from({ length: 40 }, () => openPaced(pacer, sent, true)));
        while (sockets.some(({ readableLength }) => readableLength < sent.length)) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        const readsByTurn = new Map<number, number>();
        const onRead = (): void => {
            const turn = pacer.currentTurn();
            readsByTurn.set(turn, (readsByTurn.get(turn) ?? 0) + 1);
            busyWait(0.6);
        };
        const received = await Promise.all(sockets.map(socket => readAll(socket, onRead)));
        received.forEach(bytes => assert.deepEqual(bytes, sent));
        // 4 ms of a turn, and the read that goes beyond them.
        assert.ok(Math.max(...readsByTurn.values()) <= 8, `${Math.max(...readsByTurn.values())} reads of 0.6 ms in a turn`);
    });

    it("is not resumed once it is destroyed", async () => {
        const pacer = ReadPacer.create();
        const socket = await openPaced(pacer, patternOf(200_000), false);
        let reads = 0;
        const onRead = (): void => {
            reads++;
            busyWait(3);
        };
        void readAll(socket, onRead);
        while (pacer.pauses === 0) {
            await new Promise(resolve => setImmediate(resolve));
        }
        socket.destroy();
        const before = reads;
        await new Promise(resolve => setTimeout(resolve, 50));
        assert.equal(reads, before);
    });
});
