import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { Metrics } from "../src/plugins/metrics";
import { EventId } from "../src/types/eventId";
import { RouteKind } from "../src/types/servingConfig";
import { observeEvents, setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import { startGateway } from "./fakes/gatewayHarness";
import { waitFor } from "./fakes/processes";
import type { Script } from "./fakes/scriptedUpstream";
import { answerOf, chunkOf, lastChunk, startScriptedUpstream, streamHeadOf } from "./fakes/scriptedUpstream";

const stepMs = 150;
const lineTimeoutMs = 3_000;
const exitInMs = 2_700;
const largeAnswer = "x".repeat(8_000_000);
const ends: ReadonlySet<EventId> = new Set([
    EventId.RequestRefused,
    EventId.RequestAnswered,
    EventId.RequestFailed,
    EventId.CallerLeft,
    EventId.RequestUnanswered,
]);

const headOf = (id: string, framing: string): string =>
    `POST /desk/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: 5000\r\n${framing}\r\n\r\n`;

type Fields = Readonly<Record<string, unknown>>;

interface Case {
    readonly name: string;
    readonly kind?: RouteKind;
    readonly script: Script;
    readonly request: string;
    /** What ends the request, some time after it was sent. */
    readonly end: "caller closes" | "caller ends" | "caller resets" | "stop" | "exit" | "nothing";
    /** Whether the node has been requested to stop. */
    readonly isStopping?: boolean;
    /** Another request, sent while the first one's answer comes. */
    readonly later?: string;
    readonly doesNotRead?: boolean;
    /** Events that end requests, in their order, with some of their fields. */
    readonly lines: readonly (readonly [EventId, Fields])[];
}

const silent: Script = () => undefined;
const answers: Script = (socket, { id }) => void socket.write(answerOf(id, "done"));
const beginsStream: Script = (socket, { id }) => void socket.write(streamHeadOf(id) + chunkOf("id: 1\ndata: x\n\n"));

const endsStream: Script = (socket, req, upstream) => {
    beginsStream(socket, req, upstream);
    setTimeout(() => socket.write(chunkOf("id: 2\ndata: x\n\nevent: end\ndata: x\n\n") + lastChunk), 2 * stepMs);
};

const cases: readonly Case[] = [
    {
        name: "a body of which a part came, its caller closes",
        script: answers,
        request: `${headOf("a", "Content-Length: 100")}part`,
        end: "caller closes",
        lines: [[EventId.CallerLeft, { request: "a", step: "body", bodyBytes: 4, statedBytes: "100", isBodyWhole: false }]],
    },
    {
        name: "a body in chunks of which a part came, its caller resets the connection",
        script: answers,
        request: `${headOf("a", "Transfer-Encoding: chunked")}4\r\npart\r\n`,
        end: "caller resets",
        lines: [[EventId.CallerLeft, { request: "a", step: "body", bodyBytes: 4, isBodyWhole: false, detail: "ECONNRESET" }]],
    },
    {
        name: "a body in chunks that are no chunks",
        script: answers,
        request: `${headOf("a", "Transfer-Encoding: chunked")}4\r\npart\r\nzz\r\n`,
        end: "nothing",
        lines: [[EventId.CallerLeft, { request: "a", step: "body", bodyBytes: 4, detail: "HPE_INVALID_CHUNK_SIZE" }]],
    },
    {
        name: "a request that runs, its caller closes",
        script: silent,
        request: headOf("a", "Content-Length: 0"),
        end: "caller closes",
        lines: [[EventId.CallerLeft, { request: "a", upstream: "up-0", isBodyWhole: true }]],
    },
    {
        name: "a stream that has begun, its caller closes",
        kind: RouteKind.Streaming,
        script: beginsStream,
        request: headOf("a", "Content-Length: 0"),
        end: "caller closes",
        lines: [[EventId.RequestUnanswered, { request: "a", upstream: "up-0", closer: "caller", status: 200, isEnded: false }]],
    },
    {
        name: "an answer that was handed over and not written out, its caller resets the connection",
        script: (socket, { id }) => void socket.write(answerOf(id, largeAnswer)),
        request: headOf("a", "Content-Length: 0"),
        end: "caller resets",
        doesNotRead: true,
        lines: [
            [EventId.RequestAnswered, { request: "a" }],
            [EventId.RequestUnanswered, { request: "a", step: "write", status: 200, isEnded: true, verdict: "may-have-run" }],
        ],
    },
    {
        name: "a body of which a part came, the node stops",
        script: answers,
        request: `${headOf("a", "Content-Length: 100")}part`,
        end: "stop",
        lines: [[EventId.RequestRefused, { request: "a", kind: "stopping", verdict: "not-run", status: 503 }]],
    },
    {
        name: "a request that runs, the process exits",
        script: silent,
        request: headOf("a", "Content-Length: 0"),
        end: "exit",
        lines: [[EventId.RequestUnanswered, { request: "a", step: "send", closer: "exit", verdict: "may-have-run", isBodyWhole: true }]],
    },
    {
        name: "a request behind another one that runs, the process exits",
        script: silent,
        request: headOf("a", "Content-Length: 0") + headOf("b", "Content-Length: 0"),
        end: "exit",
        lines: [
            [EventId.RequestUnanswered, { request: "a", step: "send", closer: "exit" }],
            [EventId.RequestUnanswered, { request: "b", step: "ahead", closer: "exit", verdict: "not-run" }],
        ],
    },
    {
        name: "a request that runs, its caller ends its side of the connection",
        script: silent,
        request: headOf("a", "Content-Length: 0"),
        end: "caller ends",
        lines: [[EventId.CallerLeft, { request: "a", upstream: "up-0" }]],
    },
    {
        name: "a request behind one whose answer closes the connection",
        kind: RouteKind.Streaming,
        isStopping: true,
        script: endsStream,
        request: headOf("a", "Content-Length: 0"),
        later: headOf("b", "Content-Length: 0"),
        end: "nothing",
        lines: [[EventId.RequestAnswered, { request: "a" }], [EventId.RequestUnanswered, { request: "b", step: "ahead", closer: "node", verdict: "not-run" }]],
    },
    {
        name: "a request that is answered",
        script: answers,
        request: headOf("a", "Content-Length: 0"),
        end: "caller closes",
        lines: [[EventId.RequestAnswered, { request: "a" }]],
    },
    {
        name: "a request that is refused",
        script: answers,
        request: headOf("a", "Content-Length: 0").replace("/desk/", "/nowhere/"),
        end: "caller closes",
        lines: [[EventId.RequestRefused, { request: "a" }]],
    },
    {
        name: "a request that is refused before its body has come, its caller closes",
        script: answers,
        request: `${headOf("a", "Content-Length: 20000")}part`,
        end: "caller closes",
        lines: [[EventId.RequestRefused, { request: "a", kind: "body-too-large" }]],
    },
    {
        name: "a stream that is cut by its deadline",
        kind: RouteKind.Streaming,
        script: beginsStream,
        request: headOf("a", "Content-Length: 0").replace("5000", "400"),
        end: "nothing",
        lines: [[EventId.RequestRefused, { request: "a", kind: "deadline-expired" }]],
    },
];

const closings: Readonly<Record<"caller closes" | "caller ends" | "caller resets", (socket: Socket) => void>> = {
    "caller closes": socket => void socket.destroy(),
    "caller ends": socket => void socket.end(),
    "caller resets": socket => void socket.resetAndDestroy(),
};

/** Guards against a request that was read and of whose end no log line tells. */
describe("the log of a request's end", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    for (const { name, kind, script, request, end, isStopping = false, later, doesNotRead, lines } of cases) {
        it(name, async () => {
            const seen: (readonly [EventId, Fields])[] = [];
            const stop = observeEvents((event, fields) => {
                if (ends.has(event)) {
                    seen.push([event, fields]);
                }
            });
            const upstream = await startScriptedUpstream(script);
            const { gateway, address, stop: stopNode, close } = await startGateway([upstream.address], { ...(kind && { kind }), timeoutMs: 5_000 });
            const socket = connect(Number(address.split(":")[1]), "127.0.0.1");
            socket.on("error", () => undefined);
            if (!doesNotRead) {
                socket.resume();
            }
            gateway.isStopping = isStopping;
            socket.write(request);
            try {
                await sleep(stepMs);
                if (doesNotRead) {
                    await waitFor("the first line", () => seen.length === 1, lineTimeoutMs);
                }
                socket.write(later ?? "");
                if (end === "exit") {
                    close();
                }
                else if (end === "stop") {
                    stopNode(exitInMs);
                }
                else if (end !== "nothing") {
                    closings[end](socket);
                }
                await waitFor("the lines", () => seen.length >= lines.length, lineTimeoutMs);
                await sleep(stepMs);
                const picked = seen.map(([event, fields], index) => [
                    event,
                    Object.fromEntries(Object.keys(lines[index]?.[1] ?? fields).map(key => [key, fields[key]])),
                ]);
                assert.deepEqual(picked, lines);
            }
            finally {
                stop();
                socket.destroy();
                close();
                upstream.close();
            }
        });
    }

    it("is counted by step and closer", async () => {
        const metrics = Metrics.create();
        const { emit } = await import("../src/utils/events");
        emit(EventId.RequestUnanswered, { step: "body", closer: "exit" });
        assert.match((await metrics.render()).text, /jackdawtrail_requests_unanswered_total\{step="body",closer="exit"\} 1/);
    });
});
