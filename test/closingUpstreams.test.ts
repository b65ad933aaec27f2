import assert from "node:assert/strict";
import type { AddressInfo, Socket } from "node:net";
import { createServer } from "node:net";
import { after, before, describe, it } from "node:test";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";

const timeoutMs = 3_000;
/** Refused long before the deadline. */
const maxRefusalMs = timeoutMs / 3;
/** Attempts of one request at one upstream. */
const maxConnections = 5;

/** Guards against a request that opens connection after connection to an upstream that closes each, until its caller's deadline. */
describe("an upstream that accepts connections and closes them", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    const ends: Readonly<Record<string, (socket: Socket) => void>> = {
        "with FIN": socket => void socket.end(),
        "with a reset": socket => void socket.resetAndDestroy(),
    };
    for (const [name, end] of Object.entries(ends)) {
        for (const kind of [RouteKind.Idempotent, RouteKind.NonIdempotent]) {
            for (const hasOther of [false, true]) {
                it(`${name} holds up no ${kind} request${hasOther ? " that another upstream can take" : ""}`, async () => {
                    let connections = 0;
                    const closing = createServer(socket => {
                        connections++;
                        socket.on("error", () => undefined);
                        end(socket);
                    });
                    await new Promise<void>(resolve => closing.listen(0, "127.0.0.1", resolve));
                    const sound = await startScriptedUpstream((socket, { id }) => void socket.write(answerOf(id, "done")));
                    const address = `127.0.0.1:${(closing.address() as AddressInfo).port}`;
                    const node = await startGateway(hasOther ? [address, sound.address] : [address], { kind, timeoutMs });
                    const { status, afterMs } = await callGateway(node.address);
                    node.close();
                    sound.close();
                    closing.close();
                    const text = `${status} after ${Math.round(afterMs)} ms, ${connections} connections`;
                    assert.ok(hasOther ? status === 200 : status === 502 || status === 503, text);
                    assert.ok(afterMs < maxRefusalMs && connections <= maxConnections, text);
                });
            }
        }
    }
});
