import assert from "node:assert/strict";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import type { TestGateway } from "./fakes/gatewayHarness";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import { reservePort } from "./fakes/ports";
import type { Script, ScriptedUpstream } from "./fakes/scriptedUpstream";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";
import { answer, neverAnswer, refuseThenAnswer } from "./fakes/upstreamScripts";

before(() => setupLogs("silent"));

describe("connections to upstreams", () => {
    const withNode = async (
        script: Script,
        run: (node: TestGateway, upstream: ScriptedUpstream) => Promise<void>,
        kind = RouteKind.NonIdempotent,
    ): Promise<void> => {
        const upstream = await startScriptedUpstream(script);
        const node = await startGateway([upstream.address], { kind });
        await run(node, upstream);
        node.close();
        upstream.close();
    };

    it("reuses a connection after a complete answer", () =>
        withNode(answer, async (node, upstream) => {
            await callGateway(node.address);
            await callGateway(node.address);
            assert.equal(upstream.closedConnections, 0);
            assert.equal(upstream.received.length, 2);
        }));

    it("closes a connection with surplus bytes and relays none of them", () =>
        withNode((socket, { id }) => void socket.write(answerOf(id, "mine") + answerOf("old", "surplus")), async node => {
            const results = [await callGateway(node.address), await callGateway(node.address)];
            assert.deepEqual(results.map(({ body }) => body).filter(body => body.includes("surplus")), []);
        }));

    it("does not take a late copy of a refusal of another request for the answer to this one", () =>
        withNode((socket, { id, index }) => {
            const refusalOf = (refused: string): string => `HTTP/1.1 503 Busy\r\nAttempt-Id: ${refused}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`;
            socket.write(index === 0 ? refusalOf(id) : refusalOf("first") + answerOf(id, "ran"));
        }, async (node, upstream) => {
            assert.equal((await callGateway(node.address, { headers: { "attempt-id": "first" } })).status, 503);
            const { status, body } = await callGateway(node.address, { headers: { "attempt-id": "second" } });
            assert.equal(upstream.received.length, 2);
            assert.equal(status, 502, `"not run" would be false: ${body}`);
        }));

    it("closes the upstream connection as soon as the caller disconnects", () =>
        withNode(neverAnswer, async (node, upstream) => {
            await callGateway(node.address, { abortAfterMs: 60 });
            await new Promise(resolve => setTimeout(resolve, 150));
            assert.equal(upstream.closedConnections, 1);
        }));

    it("forwards nothing for a caller that has left by the time its request is read", () =>
        withNode(answer, async (node, upstream) => {
            await callGateway(node.address);
            const left = [...Array(30).keys()].map(() =>
                new Promise<void>(resolve => {
                    const socket = connect(Number(node.address.split(":")[1]), "127.0.0.1", () => {
                        socket.end("POST /desk/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: left\r\nContent-Length: 0\r\n\r\n", () => {
                            // The node is busy while the requests and the ends of their connections arrive.
                            const busyUntil = performance.now() + 5;
                            while (performance.now() < busyUntil) {
                                // Blocks the event loop.
                            }
                            resolve();
                        });
                    });
                    socket.on("error", () => undefined);
                })
            );
            await Promise.all(left);
            await new Promise(resolve => setTimeout(resolve, 200));
            assert.equal(upstream.received.filter(({ id }) => id === "left").length, 0);
        }));

    it("serves a request that the caller retries after a refusal", () =>
        withNode(refuseThenAnswer, async node => {
            assert.equal((await callGateway(node.address)).status, 503);
            assert.equal((await callGateway(node.address)).status, 200);
        }));

    it("skips an unreachable upstream without using a retry", async () => {
        const upstream = await startScriptedUpstream(answer);
        const node = await startGateway([`127.0.0.1:${await reservePort()}`, upstream.address]);
        node.gateway.trafficOf("up-0").onFirstByte(1);
        const result = await callGateway(node.address);
        node.close();
        upstream.close();
        assert.equal(result.status, 200);
        assert.equal(upstream.received.length, 1);
    });

    it("learns how soon an upstream drops idle connections without notice", async () => {
        const idleAtServer = new WeakMap<object, number>();
        const upstream = await startScriptedUpstream((socket, { id }) => {
            const idleSince = idleAtServer.get(socket);
            if (idleSince !== undefined && performance.now() - idleSince > 100) {
                // The connection was dropped; whatever is sent on it is reset.
                socket.resetAndDestroy();
                return;
            }
            socket.write(answerOf(id, "done"), () => idleAtServer.set(socket, performance.now()));
        });
        const node = await startGateway([upstream.address], { kind: RouteKind.NonIdempotent });
        const statuses: (number | undefined)[] = [];
        for (let call = 0; call < 6; call++) {
            statuses.push((await callGateway(node.address)).status);
            await new Promise(resolve => setTimeout(resolve, 150));
        }
        node.close();
        upstream.close();
        assert.deepEqual(statuses, [200, 502, 200, 200, 200, 200]);
    });

    it("forwards nothing to a draining upstream", () =>
        withNode(answer, async (node, upstream) => {
            const before = node.gateway.directory.get("up-0")!;
            node.gateway.directory.apply({ id: "up-0", version: 9, server: { ...before, state: "draining" as typeof before.state } });
            assert.equal((await callGateway(node.address)).status, 503);
            assert.equal(upstream.received.length, 0);
        }));
});

after(() => setupLogs("info"));
