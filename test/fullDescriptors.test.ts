import assert from "node:assert/strict";
import { createRequire } from "node:module";
import type { NetConnectOpts } from "node:net";
import { Socket } from "node:net";
import { after, before, describe, it, mock } from "node:test";
import { ContactMonitor } from "../src/forward/contactMonitor";
import { askUpstream } from "../src/platform/upstreamQuestion";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import type { Script } from "./fakes/scriptedUpstream";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";
import { answer } from "./fakes/upstreamScripts";

const net = createRequire(import.meta.url)("node:net") as { connect: (options: NetConnectOpts) => Socket; };
const callersAtOnce = 8;
const warmUpMs = 1_000;
const minServedShare = 0.9;
const answerLater: Script = (...args) => void setTimeout(() => void answer(...args), 10);

// Guards against a node that takes its path for lost, and serves nobody, as it may open no further connection while those it has serve.
describe("a node that may open no further connection", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    for (const kind of [RouteKind.Idempotent, RouteKind.NonIdempotent]) {
        for (const fullMs of [300, 2_500]) {
            it(`serves over those that it has for ${fullMs} ms, ${kind}`, async () => {
                const upstreams = await Promise.all([0, 1, 2, 3].map(() => startScriptedUpstream(answerLater)));
                const ports = new Set(upstreams.map(({ address }) => Number(address.split(":")[1])));
                const node = await startGateway(upstreams.map(({ address }) => address), { kind, maxAttempts: 3 });
                const stopped = new AbortController();
                ContactMonitor.create(node.gateway, askUpstream).start(stopped.signal);
                const statuses: (number | undefined)[] = [];
                let isDone = false;
                const call = async (): Promise<void> => {
                    while (!isDone) {
                        statuses.push((await callGateway(node.address)).status);
                    }
                };
                const callers = [...Array(callersAtOnce).keys()].map(call);
                await sleep(warmUpMs);
                const { connect } = net;
                const full = mock.method(net, "connect", (options: NetConnectOpts): Socket =>
                    ports.has(Number((options as { port?: unknown; }).port))
                        ? new Socket().destroy(Object.assign(new Error("connect EMFILE"), { code: "EMFILE" }))
                        : connect(options));
                statuses.length = 0;
                await sleep(fullMs);
                const served = statuses.filter(status => status === 200).length;
                const asked = statuses.length;
                const { lossCount } = node.gateway.contact;
                full.mock.restore();
                isDone = true;
                await Promise.all(callers);
                stopped.abort();
                node.close();
                upstreams.forEach(upstream => upstream.close());
                assert.ok(served >= minServedShare * asked, `served ${served} of ${asked}`);
                assert.equal(lossCount, 0);
            });
        }
    }
});
