import assert from "node:assert/strict";
import type { AddressInfo, Socket } from "node:net";
import { createServer } from "node:net";
import { describe, it } from "node:test";
import { defaultTransportLimits } from "../src/node/transportLimitSettings";
import { RunnerClient } from "../src/platform/runnerClient";
import { RunnerOrderAnswer, RunnerOrderKind } from "../src/types/runner";

const accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
const order = { kind: RunnerOrderKind.Load, model: "m", expectedAcceptedOrders: 0, holder: "n", epoch: 1 };
/** Time after which an order is given up, and some more. */
const givenUpMs = 1_000;

const cases = [
    { name: "on a new connection", answers: 0 },
    { name: "on a kept connection", answers: 1 },
];

/** Guards against orders that arrive after they were given up: after an orderly close the kernel goes on sending them. */
describe("an order that is given up", () => {
    cases.forEach(({ name, answers }) =>
        it(`resets its connection, so that its bytes are discarded (${name})`, async () => {
            const ends: string[] = [];
            let received = 0;
            const server = createServer((socket: Socket) => {
                socket.on("data", () => received++ < answers && socket.write(accepted));
                socket.on("end", () => ends.push("closed"));
                socket.on("error", (err: NodeJS.ErrnoException) => ends.push(err.code ?? ""));
            });
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const runner = { id: "r", bornAt: 1, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
            const client = RunnerClient.create(defaultTransportLimits);
            for (let index = 0; index < answers; index++) {
                assert.equal(await client.order(runner, order), RunnerOrderAnswer.Accepted);
            }
            await assert.rejects(client.order(runner, order));
            const endedBy = performance.now() + givenUpMs;
            while (ends.length === 0 && performance.now() < endedBy) {
                await new Promise(resolve => setTimeout(resolve, 10));
            }
            server.close();
            assert.deepEqual({ received, ends }, { received: answers + 1, ends: ["ECONNRESET"] });
        })
    );
});
