import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { ContactMonitor } from "../src/forward/contactMonitor";
import { askUpstream } from "../src/platform/upstreamQuestion";
import type { ServiceRoute } from "../src/types/servingConfig";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import type { Script, ScriptedUpstream } from "./fakes/scriptedUpstream";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";
import { answerUntilClose, completeStreamUntilClose, sseEvents, streamClosedBetweenEvents } from "./fakes/upstreamScripts";

const upstreamCount = 4;
const isProbe = (head: string): boolean => head.startsWith("GET /healthz ");

interface Case {
    readonly name: string;
    readonly script: Script;
    readonly route?: Partial<ServiceRoute>;
    /** Upstreams that refuse new connections once the answer has been written. */
    readonly refusing: "none" | "own" | "all";
    readonly status: number;
    readonly body?: string;
    readonly isComplete: boolean;
}

const streaming = { kind: RouteKind.Streaming };
const cases: readonly Case[] = [
    {
        name: "is complete while new connections to all upstreams are refused: plain",
        script: answerUntilClose,
        refusing: "all",
        status: 200,
        body: "no length",
        isComplete: true,
    },
    {
        name: "is complete while new connections to all upstreams are refused: stream",
        script: completeStreamUntilClose,
        route: streaming,
        refusing: "all",
        status: 200,
        body: sseEvents(1, 4),
        isComplete: true,
    },
    { name: "is not complete if its upstream alone has ended: plain", script: answerUntilClose, refusing: "own", status: 502, isComplete: true },
    {
        name: "is not complete if its upstream alone has ended: stream",
        script: streamClosedBetweenEvents,
        route: streaming,
        refusing: "own",
        status: 200,
        isComplete: false,
    },
    { name: "is complete if its upstream lives: plain", script: answerUntilClose, refusing: "none", status: 200, body: "no length", isComplete: true },
];

/** Guards against answers that count as cut off as the node cannot open connections to any upstream. */
describe("an answer that ends with its connection", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    for (const { name, script, route, refusing, status, body, isComplete } of cases) {
        it(name, async () => {
            const upstreams: ScriptedUpstream[] = [];
            const written: Script = (socket, req, upstream) => {
                if (isProbe(req.head)) {
                    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    return;
                }
                const refusers = { none: [], own: [upstream], all: upstreams };
                refusers[refusing].forEach(refuser => refuser.stopListening());
                script(socket, req, upstream);
            };
            for (let index = 0; index < upstreamCount; index++) {
                upstreams.push(await startScriptedUpstream(written));
            }
            const node = await startGateway(upstreams.map(({ address }) => address), route);
            const stopped = new AbortController();
            node.gateway.contactMonitor = ContactMonitor.create(node.gateway, askUpstream);
            node.gateway.contactMonitor.start(stopped.signal);
            await sleep(300);
            const result = await callGateway(node.address);
            stopped.abort();
            node.close();
            upstreams.forEach(upstream => upstream.close());
            assert.equal(result.status, status);
            assert.equal(result.isComplete, isComplete);
            if (body !== undefined) {
                assert.equal(result.body, body);
            }
        });
    }
});
