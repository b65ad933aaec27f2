import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { relayHeader, relayReportHeader } from "../src/forward/relayHeaders";
import { callGateway } from "./fakes/gatewayHarness";
import type { RelayFleetOptions } from "./fakes/relayFleet";
import { RelayFleet } from "./fakes/relayFleet";
import { answer } from "./fakes/upstreamScripts";

const withFleet = async (options: RelayFleetOptions, run: (fleet: RelayFleet) => Promise<void>): Promise<void> => {
    const fleet = await RelayFleet.create(options);
    try {
        await run(fleet);
    }
    finally {
        fleet.close();
    }
};

describe("a node that is cut off from all upstreams", () => {
    it("serves a plain request through a peer instead of refusing it", () =>
        withFleet({ scripts: [answer] }, async fleet => {
            const result = await callGateway(fleet.origin.address, { path: "/desk/x?y=1", body: "hello", headers: { "x-own": "kept" } });
            assert.equal(result.status, 200);
            assert.equal(result.body, "done");
            assert.equal(result.headers["server-seal"], "seal-id-1");
            assert.equal(result.headers[relayReportHeader], undefined);
            assert.equal(fleet.cutUpstream.received.length, 0);
            const [received, ...others] = fleet.received;
            assert.equal(others.length, 0);
            assert.match(received!.head, /^POST \/desk\/x\?y=1 /);
            assert.match(received!.head, /^host: shop\.example$/im);
            assert.match(received!.head, /^x-own: kept$/im);
            assert.equal(received!.id, "id-1");
            assert.equal(received!.body, "hello");
            assert.doesNotMatch(received!.head, new RegExp(relayHeader, "i"));
        }));
});
