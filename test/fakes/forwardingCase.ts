import assert from "node:assert/strict";
import { it } from "node:test";
import type { RouteKind } from "../../src/types/servingConfig";
import type { CallerRequest, CallerResult } from "./gatewayHarness";
import { callGateway, startGateway } from "./gatewayHarness";
import type { Script, ScriptedUpstream } from "./scriptedUpstream";
import { startScriptedUpstream } from "./scriptedUpstream";

/** A request through a gateway to scripted upstreams, and what its caller gets. */
export interface ForwardingCase {
    readonly name: string;
    readonly kind?: RouteKind;
    readonly isResumable?: boolean;
    readonly maxAttempts?: number;
    readonly timeoutMs?: number;
    /** One script for each upstream; the request is sent to the first upstream first. */
    readonly scripts: readonly Script[];
    /** Software version of each upstream. */
    readonly softwareVersions?: readonly string[];
    readonly call?: CallerRequest;
    readonly status: number | undefined;
    readonly body?: string;
    readonly isComplete?: boolean;
    /** Total number of requests that upstreams received. */
    readonly received: number;
    readonly check?: (outcome: { readonly result: CallerResult; readonly upstreams: readonly ScriptedUpstream[]; }) => void;
}

/** Defines the test of a case. */
export const testForwarding = (
    { name, scripts, softwareVersions, call, status, body, isComplete = status !== undefined, received, check, ...route }: ForwardingCase,
): void => {
    it(name, async () => {
        const upstreams = await Promise.all(scripts.map(script => startScriptedUpstream(script)));
        const node = await startGateway(upstreams.map(({ address }) => address), route, softwareVersions);
        // The first upstream is preferred because the others have higher latencies.
        [...scripts.keys()].forEach(index => node.gateway.trafficOf(`up-${index}`).onFirstByte(20 + 20 * index));
        const result = await callGateway(node.address, call);
        node.close();
        upstreams.forEach(upstream => upstream.close());
        assert.equal(result.status, status);
        assert.equal(result.isComplete, isComplete);
        if (body !== undefined) {
            assert.equal(result.body, body);
        }
        assert.equal(upstreams.reduce((sum, upstream) => sum + upstream.received.length, 0), received);
        check?.({ result, upstreams });
    });
};
