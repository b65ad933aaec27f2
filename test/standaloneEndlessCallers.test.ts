import assert from "node:assert/strict";
import { connect } from "node:net";
import { describe, it } from "node:test";
import type { NodeContext } from "../src/node/context";
import { StandaloneNodeServer } from "../src/plugins/standaloneNodeServer";
import { reservePort } from "./fakes/ports";

const graceMs = 20_000;
const turnMs = 2;
const maxStopMs = 8_000;

/** Guards against a stop that lasts to the end of a long grace period because callers open new connections without end. */
describe("a standalone node that is stopped while new connections come without end", () => {
    it("stops accepting them long before the end of a long grace period", async () => {
        const port = await reservePort();
        // Only these are read.
        const context = { cfg: { listen: `127.0.0.1:${port}` }, signal: new AbortController().signal, inProgress: 0 } as unknown as NodeContext;
        const server = StandaloneNodeServer.create(context);
        await server.listen();
        let isConnecting = true;
        const turn = (): void => {
            const until = performance.now() + turnMs;
            while (performance.now() < until) {
                /* busy */
            }
            const socket = connect(port, "127.0.0.1", () => socket.destroy());
            socket.on("error", () => undefined);
            if (isConnecting) {
                setImmediate(turn);
            }
        };
        turn();
        const startedAt = performance.now();
        await server.close(startedAt + graceMs);
        const tookMs = performance.now() - startedAt;
        isConnecting = false;
        server.destroyConnections();
        assert.ok(tookMs < maxStopMs, `${tookMs} ms`);
    });
});
