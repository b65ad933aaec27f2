import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { relayReportHeader } from "../src/forward/relayHeaders";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";
import { withFleet } from "./fakes/relayFleet";
import type { Script } from "./fakes/scriptedUpstream";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";
import { answer } from "./fakes/upstreamScripts";

const statuses = ["000", "001", "00", "099", "600", "700", "999", "2000", "-20", "2x0"];
const deadlineMs = 5_000;
const startTimeoutMs = 8_000;

const framings: Readonly<Record<string, (body: string) => string>> = {
    length: body => `Content-Length: ${body.length}\r\n\r\n${body}`,
    chunks: body => `Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
    connection: body => `Connection: close\r\n\r\n${body}`,
};

/** Answers with a status, and closes the connection where nothing else marks the end of the body. */
const answerWith = (status: string, framing: string, headers = ""): Script => (socket, { id }) => {
    socket.write(`HTTP/1.1 ${status} OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\n${headers}${framings[framing]!("id: 1\ndata: x\n\n")}`);
    if (framing === "connection") {
        socket.end();
    }
};

/** What a peer says of an answer that it relays. */
const peerReport = `${relayReportHeader}: {"verdict":"ran","sends":1,"runs":1,"upstream":"up-0"}\r\n`;
const eventStream = "Content-Type: text/event-stream\r\n";

describe("an answer with a status outside 100 to 599", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    for (const kind of Object.values(RouteKind)) {
        for (const framing of Object.keys(framings)) {
            it(`is no answer: ${kind} route, body ended by ${framing}`, async () => {
                for (const status of statuses) {
                    const upstream = await startScriptedUpstream(answerWith(status, framing, eventStream));
                    const node = await startGateway([upstream.address], { kind });
                    for (const use of ["first", "second"]) {
                        const result = await callGateway(node.address);
                        assert.equal(result.status, 502, `${status}, ${use} request`);
                    }
                    node.close();
                    upstream.close();
                }
            });
        }
    }

    it("is followed by another attempt where the route allows it", async () => {
        for (const status of statuses) {
            const upstreams = [await startScriptedUpstream(answerWith(status, "length")), await startScriptedUpstream(answer)];
            const node = await startGateway(upstreams.map(({ address }) => address), { kind: RouteKind.Idempotent, maxAttempts: 2 });
            node.gateway.trafficOf("up-0").onFirstByte(1);
            node.gateway.trafficOf("up-1").onFirstByte(300);
            const { status: received, body } = await callGateway(node.address);
            node.close();
            upstreams.forEach(upstream => upstream.close());
            assert.deepEqual([received, body, upstreams[0]!.received.length], [200, "done", 1], status);
        }
    });

    it("is no answer at a peer, nor from one", async () => {
        for (const status of statuses) {
            await withFleet({ scripts: [answerWith(status, "length")] }, async ({ origin }) => {
                assert.equal((await callGateway(origin.address)).status, 502, `${status} at a peer`);
            });
            await withFleet({ scripts: [answer] }, async fleet => {
                await fleet.addScriptedPeer(answerWith(status, "length", peerReport));
                assert.equal((await callGateway(fleet.origin.address)).status, 502, `${status} from a peer`);
            });
        }
    });

    it("is no answer during a stop", async () => {
        for (const status of statuses) {
            const upstream = await startScriptedUpstream((socket, req, upstream) =>
                void setTimeout(() => answerWith(status, "length")(socket, req, upstream), 100)
            );
            const node = await startGateway([upstream.address]);
            const call = callGateway(node.address);
            await waitFor("the request", () => Promise.resolve(upstream.received.length > 0), startTimeoutMs);
            node.stop(2_000);
            assert.equal((await call).status, 502, status);
            upstream.close();
        }
    });
});

/**
 * Guards against a node that stands still: the first failed assertion of the client made the runtime parse the program's source for a message, which took
 * 5.6 s and delayed the requests of all callers.
 */
describe("a node process that receives the status 000 first", () => {
    const routeOf = (service: string): object => ({
        name: service,
        host: "shop.example",
        prefix: `/${service}/`,
        routeKind: "non_idempotent",
        timeoutMs: deadlineMs,
        service,
        attempts: 1,
    });
    const services = ["bad", "good"].map(name => ({ name, healthPath: "/h", maxConns: 100 }));

    it("refuses that request before its deadline and answers others", async () => {
        const bad = await startScriptedUpstream(answerWith("000", "length"));
        const good = await startScriptedUpstream((socket, { id }) => void socket.write(answerOf(id, "done")));
        const rows = { u1: { service: "bad", addr: bad.address, slots: 8 }, u2: { service: "good", addr: good.address, slots: 8 } };
        const node = await PlatformProcess.start(8, { routes: ["bad", "good"].map(routeOf), services }, rows);
        const call = (service: string) => callGateway(node.front, { path: `/${service}/x`, headers: { "deadline-ms": String(deadlineMs) } });
        try {
            await waitFor("an answer", async () => (await call("good")).status === 200, startTimeoutMs);
            const refused = call("bad");
            const { status, afterMs } = await call("good");
            assert.equal((await refused).status, 502);
            assert.equal(status, 200);
            assert.ok(afterMs < deadlineMs / 2, `another request took ${Math.round(afterMs)} ms`);
        }
        finally {
            node.close();
            bad.close();
            good.close();
        }
    });
});
