import assert from "node:assert/strict";
import { once } from "node:events";
import type { AddressInfo, Socket } from "node:net";
import { connect, createServer } from "node:net";
import { describe, it } from "node:test";
import { nextTurn, sleep } from "../src/utils/time";
import { readBody } from "../src/utils/transport";
import { TurnPacer } from "../src/utils/turnPacer";

const silenceMs = 200;
const standstillMs = 400;

/** What one turn of the event loop reads, and readers that wait for their turn. */
const bytesOfATurn = 1_000_000;
const readersAhead = 12;
const readerMs = 60;

const standStill = (ms: number): void => {
    const endAt = performance.now() + ms;
    while (performance.now() < endAt) {
        // The event loop is blocked.
    }
};

describe("a body with a limit on silence", () => {
    const cases: readonly { readonly name: string; readonly continues: boolean; readonly kind: string; }[] = [
        { name: "is read if its sender went on while the reader stood still", continues: true, kind: "whole" },
        { name: "is given up if its sender is silent", continues: false, kind: "slow" },
    ];
    for (const { name, continues, kind } of cases) {
        it(name, async () => {
            const server = createServer().listen(0, "127.0.0.1");
            await once(server, "listening");
            const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
            const [socket] = await once(server, "connection") as [Socket];
            const reading = readBody(socket, { maxBytes: 100, timeoutMs: 5_000, silenceMs });
            client.write("a");
            await sleep(silenceMs / 4);
            // After this phase of the event loop timers come before reads.
            await nextTurn();
            if (continues) {
                client.end("b");
            }
            standStill(standstillMs);
            assert.equal((await reading).kind, kind);
            client.destroy();
            socket.destroy();
            server.close();
        });
    }

    /** Guards against a sender that is taken for silent while this process lets other readers go first. */
    it("is read if the reader itself paused it for longer", async () => {
        const server = createServer().listen(0, "127.0.0.1");
        await once(server, "listening");
        const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
        const [socket] = await once(server, "connection") as [Socket];
        const pacer = TurnPacer.create();
        socket.once("data", () => {
            pacer.count(bytesOfATurn, () => undefined);
            [...Array(readersAhead).keys()].forEach(() => pacer.count(1, () => standStill(readerMs)));
        });
        const reading = readBody(socket, { maxBytes: 100, timeoutMs: 5_000, silenceMs, pacer });
        client.write("a");
        await once(socket, "data");
        client.end("b");
        const { kind } = await reading;
        client.destroy();
        socket.destroy();
        server.close();
        assert.equal(kind, "whole");
    });
});
