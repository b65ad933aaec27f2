import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { maxTurnWaitMs } from "../src/core/turnWait";
import { processKey } from "../src/types/upstreamServer";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";
import { answer } from "./fakes/upstreamScripts";

const timeoutMs = 2_000;
const limitPerS = 4;
/** Time of an answer, more than is predicted for it. */
const answerMs = 130;

describe("the wait for a turn at an upstream that has named a limit", () => {
    const cases = [
        { name: "leaves a reserve beside the time of an answer", remainingMs: 2_000, neededMs: 100, expectedMs: 1_700 },
        { name: "is none if an answer takes nearly all the time", remainingMs: 1_000, neededMs: 950, expectedMs: 0 },
        { name: "is none once the time has passed", remainingMs: -5, neededMs: 10, expectedMs: 0 },
    ];
    cases.forEach(({ name, remainingMs, neededMs, expectedMs }) => it(name, () => assert.equal(maxTurnWaitMs(remainingMs, neededMs), expectedMs)));

    it("does not use up the time of a request whose answer takes longer than predicted", async () => {
        const upstream = await startScriptedUpstream((socket, req, self) => void setTimeout(() => answer(socket, req, self), answerMs));
        const { gateway, address, close } = await startGateway([upstream.address], { timeoutMs });
        gateway.trafficOf("up-0").onFirstByte(20);
        gateway.runnerLimits.onAnswer(processKey(gateway.directory.get("up-0")!), limitPerS, performance.now());
        // The last turn that is of use.
        gateway.placement = { ...gateway.placement, acquirePermit: ({ maxWaitMs }) => Promise.resolve({ isGranted: true, waitMs: maxWaitMs }) };
        const { status } = await callGateway(address);
        close();
        upstream.close();
        assert.equal(status, 200);
    });
});
