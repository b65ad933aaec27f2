import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { callGateway } from "./fakes/gatewayHarness";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";
import type { Trouble } from "./fakes/troubledServer";
import { endlessTroubles, startTroubledServer } from "./fakes/troubledServer";

/** Memory that a node of the platform may use, by its settings file. */
const memoryMb = 350;
const callers = 24;
const troubleMs = 4_000;
const pauseMs = 20;
const startTimeoutMs = 8_000;

const routeOf = (service: string, routeKind: string): object => ({
    name: service,
    host: "shop.example",
    prefix: `/${service}/`,
    routeKind,
    timeoutMs: 3_000,
    service,
    attempts: 1,
});

const eventWithoutEnd: Trouble = socket => {
    socket.write("HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\n\r\ndata: ");
    const flood = Buffer.alloc(65_536, "x");
    const write = (): void => {
        while (!socket.destroyed && socket.write(flood)) {
            // The socket's buffer takes more.
        }
    };
    socket.on("drain", write);
    write();
};

/** Guards against a node whose memory grows with the number of endless answers, until the platform kills it with the requests of all callers. */
describe("a node process whose upstreams send answers without end", () => {
    const cases: readonly { readonly name: string; readonly trouble: Trouble; readonly routeKind: string; }[] = [
        { name: "bodies without a length", trouble: endlessTroubles["a body without length and end"]!, routeKind: "idempotent" },
        { name: "chunked bodies", trouble: endlessTroubles["chunks without end"]!, routeKind: "idempotent" },
        { name: "events of streams", trouble: eventWithoutEnd, routeKind: "streaming" },
    ];
    for (const { name, trouble, routeKind } of cases) {
        it(`keeps within its memory and serves other requests: ${name}`, async () => {
            const troubled = await startTroubledServer(trouble);
            const sound = await startScriptedUpstream((socket, { id }) => void socket.write(answerOf(id, "done")));
            const node = await PlatformProcess.start(
                8,
                {
                    routes: [routeOf("bad", routeKind), routeOf("good", "non_idempotent")],
                    services: [{ name: "bad", healthPath: "/h", maxConns: 100 }, { name: "good", healthPath: "/h", maxConns: 100 }],
                },
                { u1: { service: "bad", addr: troubled.address, slots: 64 }, u2: { service: "good", addr: sound.address, slots: 64 } },
            );
            const call = (service: string): ReturnType<typeof callGateway> => callGateway(node.front, { path: `/${service}/x` });
            try {
                await waitFor("an answer", async () => (await call("good")).status === 200, startTimeoutMs);
                const endAt = performance.now() + troubleMs;
                const outcomes: (number | undefined)[] = [];
                const callAgain = async (service: string, onStatus: (status: number | undefined) => void): Promise<void> => {
                    while (performance.now() < endAt) {
                        onStatus((await call(service)).status);
                        await new Promise(resolve => setTimeout(resolve, pauseMs));
                    }
                };
                await Promise.all([
                    ...[...Array(callers).keys()].map(() => callAgain("bad", () => undefined)),
                    callAgain("good", status => outcomes.push(status)),
                ]);
                assert.ok(node.peakMemoryMb <= memoryMb, `${Math.round(node.peakMemoryMb)} MB`);
                assert.ok(outcomes.length > 10, `${outcomes.length} sound requests`);
                assert.deepEqual(outcomes.filter(status => status !== 200), []);
            }
            finally {
                node.close();
                troubled.close();
                sound.close();
            }
        });
    }
});
