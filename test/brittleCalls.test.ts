import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { RequestPacer } from "../src/core/requestPacer";
import { PeerClients } from "../src/placement/peerClients";
import { PermitClient } from "../src/placement/permitClient";
import type { ServiceRoute } from "../src/types/servingConfig";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import type { CallerRequest, CallerResult, TestGateway } from "./fakes/gatewayHarness";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import type { Script } from "./fakes/scriptedUpstream";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";
import { neverAnswer } from "./fakes/upstreamScripts";

/** Slots of the gateway's upstreams. */
const slots = 8;
const maxRejectionsPerS = 8;
const brittle = { headers: `Server-Brittle: ${maxRejectionsPerS}\r\n` };

interface Load {
    now: number;
    most: number;
    readonly rejectedAt: number[];
}

const answerIn = (ms: number, load: Load): Script => (socket, { id }) => {
    load.most = Math.max(load.most, ++load.now);
    setTimeout(() => {
        load.now--;
        socket.write(answerOf(id, "done", brittle));
    }, ms);
};
const reject = ({ rejectedAt }: Load): Script => (socket, { id }) => {
    rejectedAt.push(performance.now());
    socket.write(`HTTP/1.1 503 Full\r\nAttempt-Id: ${id}\r\nNot-Executed: 1\r\nServer-Brittle: ${maxRejectionsPerS}\r\nContent-Length: 0\r\n\r\n`);
};

/** Gives the gateway a pacer of its own. */
const pace = ({ gateway }: TestGateway): { readonly pacer: RequestPacer; readonly asked: () => number; readonly held: () => number; } => {
    const self = gateway.settings.peerAddress;
    const pacer = RequestPacer.create();
    const client = PermitClient.create(PeerClients.create(0), pacer, () => ({ self, addresses: [self] }));
    const granted = new Set<string | undefined>();
    let asked = 0;
    gateway.placement = {
        ...gateway.placement,
        isController: false,
        acquirePermit: async req => {
            asked++;
            const permit = await client.acquire(req);
            if (permit.isGranted) {
                granted.add(req.place?.id);
            }
            return permit;
        },
        returnPlace: place => {
            granted.delete(place.id);
            client.returnPlace(place);
        },
    };
    return { pacer, asked: () => asked, held: () => granted.size };
};

const say = ({ gateway }: TestGateway, count: number): void => {
    for (let index = 0; index < count; index++) {
        gateway.availability.brittle.add({ id: `up-${index}`, bornAt: 1, service: "desk", maxRejectionsPerS, ageMs: 0 });
    }
};

describe("requests for brittle upstreams", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    interface Situation {
        readonly results: readonly CallerResult[];
        readonly loads: readonly Load[];
        readonly received: readonly number[];
        readonly asked: number;
    }
    interface Case {
        readonly name: string;
        readonly scripts: readonly ((load: Load) => Script)[];
        readonly route?: Partial<ServiceRoute>;
        readonly calls: number;
        readonly call?: CallerRequest;
        readonly isBrittle?: boolean;
        /** Whether all places of the second upstream are taken. */
        readonly isFull?: boolean;
        readonly check: (situation: Situation) => void;
    }
    const countOf = (results: readonly CallerResult[], status: number): number => results.filter(result => result.status === status).length;
    const within = (loads: readonly Load[]): void => loads.forEach(({ most }) => assert.ok(most <= slots, `${most} at once`));

    const cases: readonly Case[] = [
        {
            name: "take no more places than one has slots, and wait for them",
            scripts: [load => answerIn(60, load)],
            route: { latencyObjectiveMs: 1_500 },
            calls: 40,
            check: ({ results, loads }) => {
                within(loads);
                assert.deepEqual(countOf(results, 200), 40);
            },
        },
        {
            name: "go to another one with room first",
            scripts: [load => answerIn(400, load), load => answerIn(400, load)],
            calls: 2 * slots,
            check: ({ results, loads }) => {
                within(loads);
                assert.equal(countOf(results, 200), 2 * slots);
                results.forEach(({ afterMs }) => assert.ok(afterMs < 700, `${afterMs} ms`));
            },
        },
        {
            name: "are refused at once if no place is expected in time, each with its own time to come back",
            scripts: [load => answerIn(300, load)],
            calls: 8 * slots,
            check: ({ results, loads }) => {
                within(loads);
                const refused = results.filter(({ status }) => status === 503);
                assert.ok(refused.length >= slots && refused.length + countOf(results, 200) === 8 * slots, `${refused.length} refused`);
                refused.forEach(({ headers }) => assert.ok(Number(headers["retry-after"]) > 0));
                assert.ok(refused.filter(({ afterMs }) => afterMs < 300).length >= slots, refused.map(({ afterMs }) => Math.round(afterMs)).join(" "));
                assert.ok(
                    new Set(refused.map(({ headers }) => headers["retry-after"])).size > 1,
                    refused.map(({ headers }) => String(headers["retry-after"])).join(" "),
                );
            },
        },
        {
            name: "are sent less often after rejections",
            scripts: [reject],
            calls: 30,
            route: { latencyObjectiveMs: 1_900 },
            check: ({ loads: [load] }) => {
                const { rejectedAt } = load!;
                const most = Math.max(...rejectedAt.map(from => rejectedAt.filter(at => at >= from && at < from + 1_000).length));
                assert.ok(most <= maxRejectionsPerS, `${most} in a second`);
            },
        },
        {
            name: "that are sent again take a place as well",
            scripts: [reject, load => answerIn(100, load)],
            route: { kind: RouteKind.Idempotent, maxAttempts: 3 },
            calls: slots,
            check: ({ results, asked, received }) => {
                assert.equal(countOf(results, 200), slots);
                assert.ok(asked >= received[0]! + received[1]!, `${asked} asked, ${received[0]! + received[1]!} received`);
            },
        },
        {
            name: "whose callers leave give their places back",
            scripts: [() => neverAnswer],
            calls: slots + 2,
            call: { abortAfterMs: 100 },
            check: ({ results }) => assert.ok(results.length === slots + 2),
        },
        {
            name: "leave a silent one for another one that gives them a place",
            scripts: [() => neverAnswer, load => answerIn(50, load)],
            route: { kind: RouteKind.Idempotent, maxAttempts: 3, timeoutMs: 5_000 },
            calls: 1,
            call: { headers: { "deadline-ms": "5000" } },
            check: ({ results: [result], asked, received }) => assert.deepEqual([result!.status, asked, received], [200, 2, [1, 1]]),
        },
        {
            name: "stay with a silent one while the other one has no room",
            scripts: [() => neverAnswer, load => answerIn(50, load)],
            route: { kind: RouteKind.Idempotent, maxAttempts: 3, timeoutMs: 3_000 },
            calls: 1,
            isFull: true,
            check: ({ results: [result], received }) => assert.deepEqual([result!.status, received], [504, [1, 0]]),
        },
        {
            name: "ask for nothing while none is brittle",
            scripts: [load => answerIn(20, load)],
            calls: 20,
            isBrittle: false,
            check: ({ results, asked }) => assert.deepEqual([countOf(results, 200), asked], [20, 0]),
        },
    ];
    for (const { name, scripts, route, calls, call = {}, isBrittle = true, isFull, check } of cases) {
        it(name, async () => {
            const loads = scripts.map(() => ({ now: 0, most: 0, rejectedAt: [] }));
            const toScript = isBrittle ? scripts : [(): Script => (socket, { id }) => void socket.write(answerOf(id, "done"))];
            const upstreams = await Promise.all(toScript.map((script, index) => startScriptedUpstream(script(loads[index]!))));
            const node = await startGateway(upstreams.map(({ address }) => address), route);
            const { pacer, asked, held } = pace(node);
            // The first upstream is preferred.
            upstreams.forEach((upstream, index) => node.gateway.trafficOf(`up-${index}`).onFirstByte(upstream === upstreams[0] ? 1 : 2));
            const fill = (): void => pacer.rooms.report({ node: "127.0.0.1:1", returned: [], unplaced: [{ runner: "up-1@1", count: slots }] });
            const filler = isFull ? setInterval(fill, 100) : undefined;
            if (isBrittle) {
                say(node, upstreams.length);
            }
            const results = await Promise.all(
                [...Array(calls).keys()].map(index => callGateway(node.address, { ...call, headers: { "attempt-id": `id-${index}`, ...call.headers } })),
            );
            await new Promise(resolve => setTimeout(resolve, 500));
            assert.equal(held(), 0, "places that are not given back");
            clearInterval(filler);
            node.close();
            upstreams.forEach(upstream => upstream.close());
            check({ results, loads, received: upstreams.map(({ received }) => received.length), asked: asked() });
        });
    }

    it("know it from any answer, and no longer from one that does not say so", async () => {
        let headers = brittle.headers;
        const upstream = await startScriptedUpstream((socket, { id }) => void socket.write(answerOf(id, "done", { headers })));
        const node = await startGateway([upstream.address]);
        pace(node);
        const isKnown: boolean[] = [];
        for (const next of [brittle.headers, "Server-Brittle: soon\r\n", "", ""]) {
            headers = next;
            await callGateway(node.address);
            isKnown.push(node.gateway.availability.brittle.limitOf(node.gateway.directory.get("up-0")!) === maxRejectionsPerS);
        }
        node.close();
        upstream.close();
        assert.deepEqual(isKnown, [true, true, false, false]);
    });
});
