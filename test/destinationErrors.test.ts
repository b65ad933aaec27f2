import assert from "node:assert/strict";
import { createRequire } from "node:module";
import type { NetConnectOpts } from "node:net";
import { Socket } from "node:net";
import { after, before, describe, it, mock } from "node:test";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import type { Script } from "./fakes/scriptedUpstream";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";
import { answer } from "./fakes/upstreamScripts";

const net = createRequire(import.meta.url)("node:net") as { connect: (options: NetConnectOpts) => Socket; };
const requests = 960;
const callersAtOnce = 32;
/** The time for which an upstream counts as unreachable grows; in between it is tried. */
const maxTries = 24;
const answerLater: Script = (...args) => void setTimeout(() => void answer(...args), 30);

// Guards against an upstream that cannot be reached from this node, and is chosen for each request as nothing is held against it.
describe("an upstream to which the system opens no connection, beside one that answers", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    for (const code of ["EADDRNOTAVAIL", "EACCES", "EPERM", "EMFILE", "ENOBUFS", "ECONNREFUSED"]) {
        it(`is left alone: ${code}`, async () => {
            const upstreams = await Promise.all([0, 1].map(() => startScriptedUpstream(answerLater)));
            const port = Number(upstreams[0]!.address.split(":")[1]);
            const { connect } = net;
            let tries = 0;
            const failing = mock.method(net, "connect", (options: NetConnectOpts): Socket => {
                if (Number((options as { port?: unknown; }).port) !== port) {
                    return connect(options);
                }
                tries++;
                return new Socket().destroy(Object.assign(new Error(`connect ${code}`), { code }));
            });
            const node = await startGateway(upstreams.map(({ address }) => address), { kind: RouteKind.Idempotent, maxAttempts: 2 });
            const statuses: (number | undefined)[] = [];
            const callers = [...Array(callersAtOnce).keys()].map(async () => {
                for (let i = 0; i < requests / callersAtOnce; i++) {
                    statuses.push((await callGateway(node.address)).status);
                }
            });
            await Promise.all(callers);
            failing.mock.restore();
            node.close();
            upstreams.forEach(upstream => upstream.close());
            assert.deepEqual(new Set(statuses), new Set([200]));
            console.error("TRIES", code, tries);
            assert.ok(tries > 0 && tries <= maxTries, `tried ${tries} times in ${requests} requests`);
        });
    }
});
