import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { ExitCode } from "../src/cli/exitCode";
import { sleep } from "../src/utils/time";
import { callGateway } from "./fakes/gatewayHarness";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";
import type { ScriptedUpstream } from "./fakes/scriptedUpstream";
import { chunkOf, lastChunk, startScriptedUpstream } from "./fakes/scriptedUpstream";

const graceS = 8;
const waitTimeoutMs = 8_000;
/** The callers read nothing until then, after SIGTERM. */
const readAfterMs = 3_600;
const sizes = [260_000, 1_000_000, 3_000_000, 6_000_000];
const partBytes = 50_000;
const endMark = "the-last-bytes";

enum Framing {
    Length = "length",
    Chunks = "chunks",
    Connection = "connection",
}

const headOf = (id: string, fields: readonly string[]): string =>
    ["HTTP/1.1 200 OK", `Attempt-Id: ${id}`, `Server-Seal: seal-${id}`, ...fields, "", ""].join("\r\n");

const headFields: Readonly<Record<Framing, (bytes: number) => readonly string[]>> = {
    [Framing.Length]: bytes => [`Content-Length: ${bytes}`],
    [Framing.Chunks]: () => ["Transfer-Encoding: chunked"],
    [Framing.Connection]: () => ["Connection: close"],
};

/** The parts of a body, which ends with a mark; those of a stream are events. */
const partsOf = (bytes: number, isStream: boolean): readonly string[] => {
    const parts = [...Array(Math.ceil(bytes / partBytes)).keys()].map(index =>
        isStream ? `id: ${index + 1}\ndata: ${"x".repeat(partBytes)}\n\n` : "x".repeat(partBytes)
    );
    return [...parts, isStream ? `id: ${parts.length + 1}\ndata: ${endMark}\n\n` : endMark];
};

const answer = (socket: Socket, id: string, bytes: number, framing: Framing, isStream: boolean): void => {
    const parts = partsOf(bytes, isStream);
    const type = isStream ? "text/event-stream" : "text/plain";
    const length = parts.reduce((sum, part) => sum + part.length, 0);
    socket.write(headOf(id, [`Content-Type: ${type}`, ...headFields[framing](length)]));
    parts.forEach(part => socket.write(framing === Framing.Chunks ? chunkOf(part) : part));
    if (framing === Framing.Chunks) {
        socket.write(lastChunk);
    }
    if (framing === Framing.Connection) {
        socket.end();
    }
};

/** Guards against a stop that cuts answers because their readers are slower than the node. */
describe("a node process that is stopped while answers wait for slow readers", () => {
    let upstream: ScriptedUpstream;
    let node: PlatformProcess;
    before(async () => {
        upstream = await startScriptedUpstream((socket, { id, head }) => {
            const [, kind, framing, bytes] = /^POST \/(\w+)\/(\w+)-(\d+)/.exec(head) ?? ["", "plain", Framing.Length, "1"];
            answer(socket, id, Number(bytes), framing as Framing, kind === "stream");
        });
        const service = "desk";
        const route = { host: "shop.example", timeoutMs: 9_000, service, attempts: 1 };
        const routes = [
            { ...route, name: "plain", prefix: "/plain/", routeKind: "non_idempotent" },
            { ...route, name: "stream", prefix: "/stream/", routeKind: "streaming", resumable: false },
        ];
        node = await PlatformProcess.start(graceS, { routes, services: [{ name: service, healthPath: "/h", maxConns: 100 }] }, {
            u1: { service, addr: upstream.address, slots: 50 },
        });
        await waitFor("an answer", async () => (await callGateway(node.front, { path: `/plain/${Framing.Length}-1` })).status === 200, waitTimeoutMs);
    });
    after(() => {
        node.close();
        upstream.close();
    });

    it("writes every answer out before it exits", async () => {
        const ended = new Promise<number | null>(resolve => node.process.once("exit", resolve));
        const [host, port] = node.front.split(":");
        const calls = ["plain", "stream"].flatMap(kind =>
            Object.values(Framing).flatMap(framing => sizes.map(bytes => ({ path: `/${kind}/${framing}-${bytes}` })))
        );
        const callers = calls.map(({ path }, index) => {
            const socket = connect(Number(port), host, () => {
                socket.write(
                    `POST ${path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: call-${index}\r\nDeadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n`,
                );
            });
            let last = "";
            let received = 0;
            socket.on("error", () => undefined);
            const closed = new Promise<void>(resolve => socket.once("close", () => resolve()));
            const read = async (): Promise<string> => {
                socket.on("data", (chunk: Buffer) => {
                    received += chunk.length;
                    last = (last + chunk.toString("latin1")).slice(-2 * endMark.length - lastChunk.length);
                });
                await closed;
                return last.includes(endMark) ? "whole" : `${path}: ${received} bytes`;
            };
            return { read };
        });
        await waitFor("the requests", () => upstream.received.filter(({ id }) => id.startsWith("call-")).length === calls.length, waitTimeoutMs);
        node.process.kill("SIGTERM");
        await sleep(readAfterMs);
        const results = await Promise.all(callers.map(({ read }) => read()));
        assert.deepEqual(results.filter(result => result !== "whole"), []);
        assert.equal(await ended, ExitCode.Ok);
    });
});
