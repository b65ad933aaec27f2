import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RouteKind } from "../src/types/servingConfig";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";
import { answer, refuse } from "./fakes/upstreamScripts";

const model = "late";
const expectedAfterMs = 100;
const dueReportMs = 150;
const adapterLoadMs = 10;
const timeoutMs = 4_000;

interface LateLoadCase {
    readonly name: string;
    readonly adapter?: string;
    readonly kind: RouteKind;
    readonly headers?: Readonly<Record<string, string>>;
    /** When the runner has the model, and when the controller knows that. */
    readonly loadedAfterMs: number;
    readonly reportedAfterMs: number;
    /** Requests that the runner gets. */
    readonly received: number;
}

const takenUp = { "last-event-id": "3", "resumes": "first" };

const cases: readonly LateLoadCase[] = [
    { name: "on time", kind: RouteKind.NonIdempotent, loadedAfterMs: 90, reportedAfterMs: 400, received: 1 },
    { name: "late", kind: RouteKind.NonIdempotent, loadedAfterMs: 600, reportedAfterMs: 800, received: 2 },
    { name: "late, for a stream that is taken up", kind: RouteKind.Streaming, headers: takenUp, loadedAfterMs: 600, reportedAfterMs: 800, received: 2 },
    { name: "on time, with an adapter to load after it", kind: RouteKind.NonIdempotent, adapter: "a1", loadedAfterMs: 90, reportedAfterMs: 400, received: 1 },
];

/** Guards against requests that are refused because the only runner that loads their model refused them too early. */
describe("a request that waits for a load", () => {
    cases.forEach(({ name, adapter, kind, headers, loadedAfterMs, reportedAfterMs, received }) =>
        it(`is served if the load ends ${name}`, async () => {
            const startedAt = performance.now();
            const passedMs = (): number => performance.now() - startedAt;
            let hasAdapter = false;
            const upstream = await startScriptedUpstream((socket, req, self) => {
                const hasAll = passedMs() >= loadedAfterMs && (adapter === undefined || hasAdapter);
                (hasAll ? answer : refuse)(socket, req, self);
            });
            const node = await startGateway([upstream.address], { kind, timeoutMs, isResumable: kind === RouteKind.Streaming });
            const { gateway } = node;
            gateway.placement = {
                ...gateway.placement,
                place: ({ avoid }) => {
                    const isKnown = passedMs() >= reportedAfterMs;
                    if (avoid.includes("up-0")) {
                        return Promise.resolve({ readyInMs: 0, isComing: false });
                    }
                    hasAdapter ||= isKnown;
                    const loadedInMs = passedMs() < expectedAfterMs ? expectedAfterMs - passedMs() : dueReportMs;
                    return Promise.resolve(
                        isKnown
                            ? { runner: "up-0", readyInMs: adapter === undefined ? 0 : adapterLoadMs, isComing: true }
                            : { runner: "up-0", readyInMs: loadedInMs, isComing: true, isExpected: true },
                    );
                },
            };
            const name = adapter === undefined ? model : `${model}/${adapter}`;
            const base = { "model": name, "token-count": "100,20", "prompt-prefix": "a1:50", "deadline-ms": String(timeoutMs) };
            const { status } = await callGateway(node.address, { headers: { ...base, ...headers } });
            node.close();
            upstream.close();
            assert.deepEqual([status, upstream.received.length], [200, received]);
        })
    );
});
