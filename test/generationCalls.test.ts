import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { RequestPacer } from "../src/core/requestPacer";
import { notBrittleRejectionsPerS } from "../src/core/runnerRoom";
import type { PeerClients } from "../src/placement/peerClients";
import { PermitClient } from "../src/placement/permitClient";
import type { GenerationTerms, Permit, PermitRequest, PlaceReport } from "../src/types/sendPermit";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import { rankByHash } from "../src/utils/hash";
import { sleep } from "../src/utils/time";
import type { CallerResult } from "./fakes/gatewayHarness";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import type { Script } from "./fakes/scriptedUpstream";
import { chunkOf, lastChunk, startScriptedUpstream, streamHeadOf } from "./fakes/scriptedUpstream";
import { sseEvents } from "./fakes/upstreamScripts";

const engine = { slots: 8, kvTokens: 10_000, tokensPerEvent: 5, memoryMb: 1_000, adapterSlots: 0, loadsPerS: 1, models: new Map() };
const streaming = { kind: RouteKind.Streaming, timeoutMs: 3_000, latencyObjectiveMs: 1_500, eventGapObjectiveMs: 600 };

describe("generations at runners that fail beyond their memory", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    interface Load {
        now: number;
        most: number;
    }
    const streamIn = (ms: number, load: Load): Script => (socket, { id }) => {
        load.most = Math.max(load.most, ++load.now);
        setTimeout(() => {
            load.now--;
            socket.write(streamHeadOf(id) + chunkOf(sseEvents(1, 4)) + lastChunk);
        }, ms);
    };

    interface Situation {
        readonly results: readonly CallerResult[];
        readonly most: number;
        readonly received: number;
        readonly asked: number;
    }
    interface Case {
        readonly name: string;
        readonly hasRunnerPressure: boolean;
        readonly tokenCount: string;
        readonly answerMs: number;
        readonly calls: number;
        readonly check: (situation: Situation) => void;
    }
    const countOf = (results: readonly CallerResult[], status: number): number => results.filter(result => result.status === status).length;
    const cases: readonly Case[] = [
        {
            name: "are sent without places where runners do not fail by that",
            hasRunnerPressure: false,
            tokenCount: "3000,0",
            answerMs: 100,
            calls: 8,
            check: ({ results, asked }) => assert.deepEqual([countOf(results, 200), asked], [8, 0]),
        },
        {
            name: "exceed neither the memory nor their time",
            hasRunnerPressure: true,
            tokenCount: "3000,0",
            answerMs: 150,
            calls: 6,
            check: ({ results, most }) => assert.deepEqual([countOf(results, 200), most], [6, 2]),
        },
        {
            name: "count the expected output",
            hasRunnerPressure: true,
            tokenCount: "2600,400",
            answerMs: 150,
            calls: 6,
            check: ({ results, most }) => assert.deepEqual([countOf(results, 200), most], [6, 2]),
        },
        {
            name: "are refused as not run, with times for their return, if there is no room in time",
            hasRunnerPressure: true,
            tokenCount: "8000,0",
            answerMs: 900,
            calls: 12,
            check: ({ results, most, received }) => {
                const refused = results.filter(({ status }) => status === 503);
                assert.equal(most, 1);
                assert.equal(received, countOf(results, 200));
                assert.ok(refused.length >= 9, `${refused.length} refused`);
                refused.forEach(({ headers }) => assert.ok(Number(headers["retry-after"]) > 0, JSON.stringify(headers)));
            },
        },
    ];
    for (const { name, hasRunnerPressure, tokenCount, answerMs, calls, check } of cases) {
        it(name, async () => {
            const load: Load = { now: 0, most: 0 };
            const upstream = await startScriptedUpstream(streamIn(answerMs, load));
            const { gateway, address, close } = await startGateway([upstream.address], streaming, [], { settings: { hasRunnerPressure }, engine });
            const pacer = RequestPacer.create();
            const self = gateway.settings.peerAddress;
            const client = PermitClient.create({} as PeerClients, pacer, () => ({ self, addresses: [self] }));
            let asked = 0;
            gateway.placement = {
                ...gateway.placement,
                acquirePermit: req => {
                    asked++;
                    return client.acquire(req);
                },
                returnPlace: place => client.returnPlace(place),
            };
            try {
                const results = await Promise.all(
                    [...Array(calls).keys()].map(index =>
                        callGateway(address, { headers: { model: "m", "token-count": tokenCount, "attempt-id": `id-${index}`, "deadline-ms": "3000" } })
                    ),
                );
                check({ results, most: load.most, received: upstream.received.length, asked });
                await sleep(20);
                assert.equal(gateway.trafficOf("up-0").tokensInFlight, 0);
                assert.equal(pacer.rooms.largestMemoryShare, 0);
            }
            finally {
                close();
                upstream.close();
            }
        });
    }

    describe("whose home node", () => {
        const runner = "r1";
        const addresses = ["n1", "n2", "n3"];
        const [home, deputy, self] = rankByHash(runner, addresses) as [string, string, string];
        const terms: GenerationTerms = { tokens: 1_000, kvTokens: 100_000, prefillMs: 10, gapMs: 600, isUrgent: true, isSent: false, unplacedTokens: 0 };
        const requestOf = (generation: Partial<GenerationTerms>): PermitRequest => ({
            runner,
            maxWaitMs: 1_000,
            place: {
                id: `p${performance.now()}`,
                node: self,
                holdMs: 2_000,
                slots: 64,
                share: 1,
                maxRejectionsPerS: notBrittleRejectionsPerS,
                load: 0,
                unplaced: 0,
                maxQueueMs: 0,
                dueInMs: 500,
                priority: 0,
                generation: { ...terms, ...generation },
            },
        });

        interface HomeCase {
            readonly name: string;
            readonly answer: (req: PermitRequest) => Promise<Permit>;
            readonly generation?: Partial<GenerationTerms>;
            readonly isGranted: boolean;
            readonly maxMs?: number;
            readonly asked: readonly string[];
        }
        const granted: Permit = { isGranted: true, waitMs: 0, hasTerms: true };
        const homeCases: readonly HomeCase[] = [
            {
                name: "is slow does not delay a short prompt of an urgent route",
                answer: () => sleep(400).then(() => granted),
                isGranted: true,
                maxMs: 150,
                asked: [home],
            },
            {
                name: "is told of a short prompt of an urgent route does not delay it",
                answer: () => sleep(400).then(() => granted),
                generation: { isSent: true },
                isGranted: true,
                maxMs: 20,
                asked: [home],
            },
            {
                name: "is slow is awaited by others",
                answer: () => sleep(200).then(() => ({ isGranted: false, waitMs: 5, isFull: true, hasTerms: true })),
                generation: { isUrgent: false },
                isGranted: false,
                asked: [home],
            },
            {
                name: "denies a short prompt of an urgent route is obeyed",
                answer: () => Promise.resolve({ isGranted: false, waitMs: 5, isFull: true }),
                isGranted: false,
                asked: [home],
            },
            { name: "is cut off leaves it to its deputy", answer: () => Promise.reject(new Error("ECONNREFUSED")), isGranted: true, asked: [home, deputy] },
            {
                name: "is of an earlier release gives slots, and the node its share of the rest",
                answer: () => Promise.resolve({ isGranted: true, waitMs: 0 }),
                generation: { isUrgent: false, tokens: 90_000 },
                isGranted: false,
                asked: [home],
            },
        ];
        for (const { name, answer, generation = {}, isGranted, maxMs = 1_000, asked: expected } of homeCases) {
            it(name, async () => {
                const asked: string[] = [];
                const returned: string[] = [];
                const clients = {
                    get: (address: string) => ({
                        permit: {
                            mutate: (req: PermitRequest) => {
                                asked.push(address);
                                return address === home ? answer(req) : Promise.resolve(granted);
                            },
                        },
                        places: { mutate: (report: PlaceReport) => Promise.resolve(report.returned.forEach(({ id }) => returned.push(id!))) },
                    }),
                };
                const client = PermitClient.create(clients as unknown as PeerClients, RequestPacer.create(), () => ({ self, addresses }));
                const req = requestOf(generation);
                const startedAt = performance.now();
                const permit = await client.acquire(req);
                assert.ok(performance.now() - startedAt <= maxMs, `${performance.now() - startedAt} ms`);
                assert.equal(permit.isGranted, isGranted);
                assert.deepEqual(asked, expected);
                client.returnPlace({ runner, id: req.place!.id, isRejected: false });
                await sleep(30);
                assert.ok(returned.includes(req.place!.id));
            });
        }
    });
});
