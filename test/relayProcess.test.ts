import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { encodeRelayed } from "../src/forward/relayHeaders";
import type { CallerResult } from "./fakes/gatewayHarness";
import { callGateway } from "./fakes/gatewayHarness";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";

const waitTimeoutMs = 8_000;
const graceS = 4;

describe("a node process", () => {
    it("serves a request that a node passes on which it knows by its reports", async () => {
        const upstream = await startScriptedUpstream((socket, { id }) => void socket.write(answerOf(id, "done")));
        const route = { name: "r", host: "shop.example", prefix: "/desk/", routeKind: "non_idempotent", timeoutMs: 3_000, service: "desk", attempts: 1 };
        const config = { routes: [route], services: [{ name: "desk", healthPath: "/h", maxConns: 100 }] };
        const first = await PlatformProcess.start(graceS, config, { u1: { service: "desk", addr: upstream.address, slots: 50 } });
        const second = await PlatformProcess.start(graceS, config, {}, first);
        try {
            const [name, value] = encodeRelayed({ node: "n2", elapsedMs: 0, remainingMs: 2_000, configVersion: 3, service: "desk", maxRuns: 1 });
            const call = (): Promise<CallerResult> => callGateway(first.control, { headers: { [name]: value } });
            await waitFor("the node serves what its peer passes on", async () => (await call()).status === 200, waitTimeoutMs);
            assert.equal((await call()).body, "done");
        }
        finally {
            [first, second].forEach(node => node.close());
            upstream.close();
        }
    });
});
