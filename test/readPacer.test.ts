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
        const reading = Promise.all(busy.map(socket => readAll(socket, () => busyWait(1))));
        let latestAt = performance.now();
        let longestMs = 0;
        const timer = setInterval(() => {
            longestMs = Math.max(longestMs, performance.now() - latestAt);
            latestAt = performance.now();
        }, 1);
        const received = await reading;
        clearInterval(timer);
        received.forEach(bytes => assert.equal(bytes.length, sent.length));
        assert.ok(pacer.pauses > 0);
        // Without pacing a connection would keep the loop for all that has arrived, 8 of them for about 400 ms.
        assert.ok(longestMs < 100, `${Math.round(longestMs)} ms`);
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
