import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import type { Gateway } from "../src/forward/gateway";
import type { PlacementAnswer } from "../src/types/placement";
import type { Permit } from "../src/types/sendPermit";
import type { ServiceRoute } from "../src/types/servingConfig";
import { RouteKind } from "../src/types/servingConfig";
import { processKey } from "../src/types/upstreamServer";
import { setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import type { TestGateway } from "./fakes/gatewayHarness";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import { blockLoop, LeavingCallers, leavings } from "./fakes/leavingCallers";
import { waitFor } from "./fakes/processes";
import type { Script, ScriptedUpstream } from "./fakes/scriptedUpstream";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";
import { answer, brokenStream, neverAnswer, refuse } from "./fakes/upstreamScripts";

const callerCount = 12;
const blockMs = 60;
/** Time in which a node that is no longer blocked learns of the callers' closes. */
const settleMs = 150;
const stageTimeoutMs = 10_000;
/** Delay of a stage that waits; the callers leave within it. */
const stageMs = 100;
const maxBodyBytes = 4_000_000;
const modelHeaders = "Model: m\r\nToken-Count: 2000,10\r\n";
/** Gap between the events of a runner that is saturated, and number of short gaps that make it free again. */
const saturatedGapMs = 1_000;
const recoveryGaps = 30;

/** Calls `reached` in place of, or before, a step on a request's way. */
type Stage = (gateway: Gateway, reached: () => void) => void;

const permitAfter = (waitMs: number): Permit => ({ isGranted: true, waitMs });

interface LeaveCase {
    readonly name: string;
    readonly stage: Stage;
    /** Whether the callers leave while their requests wait at the stage, rather than as the first one reaches it. */
    readonly isWaiting?: boolean;
    /** Lets the requests go on, as the callers leave. */
    readonly goOn?: (gateway: Gateway) => void;
    readonly route?: Partial<ServiceRoute>;
    readonly headers?: string;
    readonly first?: Script;
}

const withdrawStage: Stage = (gateway, reached) => {
    const budget = gateway.budgetOf("desk");
    budget.withdraw = () => {
        reached();
        return true;
    };
};

const cases: readonly LeaveCase[] = [
    {
        name: "is forwarded",
        stage: (gateway, reached) => {
            const budget = gateway.budgetOf("desk");
            budget.countRequest = reached;
        },
    },
    {
        name: "gets a connection",
        stage: (gateway, reached) => {
            const poolOf = gateway.connectionPoolOf.bind(gateway);
            gateway.connectionPoolOf = (...args) => {
                reached();
                return poolOf(...args);
            };
        },
    },
    {
        name: "is queued for capacity",
        stage: (gateway, reached) => {
            gateway.trafficOf("up-0").onEventGap(saturatedGapMs);
            const add = gateway.queue.add.bind(gateway.queue);
            const queued = new Set<unknown>();
            gateway.queue.add = (model, entry) => {
                if (!queued.has(entry)) {
                    queued.add(entry);
                    reached();
                }
                add(model, entry);
            };
        },
        isWaiting: true,
        goOn: gateway => [...Array(recoveryGaps).keys()].forEach(() => gateway.trafficOf("up-0").onEventGap(1)),
        headers: modelHeaders,
    },
    {
        name: "waits for a model",
        stage: (gateway, reached) => {
            gateway.residency.onAbsent("up-0", "m", "m");
            gateway.placement = {
                ...gateway.placement,
                place: () => {
                    reached();
                    const placed: PlacementAnswer = { runner: "up-0", readyInMs: stageMs, isComing: true };
                    return Promise.resolve(placed);
                },
            };
        },
        isWaiting: true,
        headers: modelHeaders,
    },
    {
        name: "waits for a permit",
        stage: (gateway, reached) => {
            gateway.runnerLimits.onAnswer(processKey(gateway.directory.all()[0]!), 1_000, performance.now());
            gateway.placement = {
                ...gateway.placement,
                acquirePermit: () => {
                    reached();
                    return Promise.resolve(permitAfter(stageMs));
                },
            };
        },
        isWaiting: true,
    },
    {
        name: "waits for the record of its stream",
        stage: (gateway, reached) => {
            gateway.streamVersions.mayBegin = async () => {
                reached();
                await sleep(stageMs);
                return true;
            };
        },
        isWaiting: true,
        route: { kind: RouteKind.Streaming, isResumable: true },
    },
    { name: "is to be sent again after a refusal", stage: withdrawStage, first: refuse, route: { kind: RouteKind.Idempotent, maxAttempts: 2 } },
    {
        name: "is to be sent again for the rest of its stream",
        stage: withdrawStage,
        first: brokenStream,
        route: { kind: RouteKind.Streaming, isResumable: true, maxAttempts: 2 },
    },
];

const countLeft = (upstreams: readonly ScriptedUpstream[]): number =>
    upstreams.reduce((sum, { received }) => sum + received.filter(({ id }) => id.startsWith("left-")).length, 0);

const openConnections = async (node: TestGateway): Promise<void> => {
    await Promise.all([...Array(callerCount).keys()].map(index => callGateway(node.address, { headers: { "attempt-id": `warm-${index}` } })));
};

/** Starts a node with upstreams that answer only requests that were sent beforehand. */
const startNode = async (scripts: readonly Script[], route: Partial<ServiceRoute>) => {
    const upstreams = await Promise.all(
        scripts.map(script => startScriptedUpstream((socket, req, upstream) => (req.id.startsWith("left-") ? script : answer)(socket, req, upstream))),
    );
    const node = await startGateway(upstreams.map(({ address }) => address), { timeoutMs: 8_000, kind: RouteKind.Idempotent, ...route });
    const { gateway } = node;
    gateway.applyConfig({ ...gateway.config!, version: 2, limits: { ...gateway.config!.limits, maxBodyBytes } }, Buffer.from(""));
    return { node, upstreams };
};

describe("a caller that leaves while the node's event loop is blocked", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    for (const { name, stage, isWaiting = false, goOn, route = {}, headers = "", first } of cases) {
        for (const [leavingName, leaving] of Object.entries(leavings)) {
            for (const isKept of [false, true]) {
                it(`is sent to no upstream: ${leavingName} as it ${name}, ${isKept ? "kept" : "new"} connections`, async () => {
                    const { node, upstreams } = await startNode(first ? [first, neverAnswer] : [neverAnswer], route);
                    if (first) {
                        node.gateway.trafficOf("up-0").onFirstByte(20);
                        node.gateway.trafficOf("up-1").onFirstByte(60);
                    }
                    if (isKept) {
                        await openConnections(node);
                    }
                    const callers = await LeavingCallers.connect(node.address, callerCount);
                    let reachedCount = 0;
                    let sentBefore = 0;
                    const leave = (): void => {
                        sentBefore = countLeft(upstreams.slice(first ? 1 : 0));
                        goOn?.(node.gateway);
                        callers.leave(leaving);
                        blockLoop(blockMs);
                    };
                    stage(node.gateway, () => {
                        reachedCount++;
                        if (!callers.hasLeft && !isWaiting) {
                            leave();
                        }
                        if (isWaiting && reachedCount === callerCount) {
                            setTimeout(leave, 5);
                        }
                    });
                    callers.send(headers, 0);
                    await waitFor("the callers leave", () => callers.hasLeft, stageTimeoutMs, 5);
                    await sleep(settleMs);
                    node.close();
                    callers.close();
                    upstreams.forEach(upstream => upstream.close());
                    assert.equal(countLeft(upstreams.slice(first ? 1 : 0)) - sentBefore, 0);
                });
            }
        }
    }

    for (const kind of [RouteKind.Idempotent, RouteKind.NonIdempotent, RouteKind.Streaming]) {
        for (const bodyBytes of [0, 300_000, 3_000_000]) {
            it(`has no work done for it, route ${kind}, ${bodyBytes} bytes`, async () => {
                for (const leaving of Object.values(leavings)) {
                    const { node, upstreams } = await startNode([neverAnswer], { kind });
                    const callers = await LeavingCallers.connect(node.address, callerCount);
                    callers.send("", bodyBytes);
                    await waitFor("all run", () => countLeft(upstreams) === callerCount, stageTimeoutMs, 5);
                    callers.leave(leaving);
                    blockLoop(blockMs);
                    await sleep(settleMs);
                    const { closedConnections } = upstreams[0]!;
                    node.close();
                    callers.close();
                    upstreams.forEach(upstream => upstream.close());
                    assert.equal(closedConnections, callerCount);
                }
            });
        }
    }

    it("is sent to no upstream: several hundred requests in one turn, which take long to forward", async () => {
        const { node, upstreams } = await startNode([neverAnswer], {});
        const callers = await LeavingCallers.connect(node.address, 300);
        let forwarded = 0;
        node.gateway.budgetOf("desk").countRequest = () => {
            blockLoop(3);
            if (++forwarded === 5) {
                callers.leave(leavings.reset!);
            }
        };
        callers.send("", 0);
        await waitFor("the callers leave", () => callers.hasLeft, stageTimeoutMs, 5);
        await sleep(settleMs);
        node.close();
        upstreams.forEach(upstream => upstream.close());
        assert.ok(countLeft(upstreams) <= 5, `${countLeft(upstreams)} requests were sent`);
        assert.ok(forwarded < 30, `${forwarded} requests of callers that had left were forwarded`);
    });
});
