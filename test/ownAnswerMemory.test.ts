import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { toFailure } from "../src/core/failures";
import { MemoryBudget } from "../src/core/memoryBudget";
import { OwnAnswerMemory } from "../src/core/ownAnswerMemory";
import { defaultTransportLimits } from "../src/node/transportLimitSettings";
import { RunnerClient } from "../src/platform/runnerClient";
import { StoreClient } from "../src/platform/storeClient";
import { FailureKind } from "../src/types/failureKind";
import { MemoryHolder } from "../src/types/memoryHolder";
import { OwnAnswerKind } from "../src/types/ownAnswerKind";
import { setupLogs } from "../src/utils/events";
import { waitFor } from "./fakes/processes";
import { answerSlowly, startTroubledServer } from "./fakes/troubledServer";

before(() => setupLogs("silent"));
after(() => setupLogs("info"));

const megabyte = 1_048_576;

interface MemoryCase {
    readonly name: string;
    /** Bytes that answers hold before, by kind. */
    readonly held: readonly (readonly [OwnAnswerKind, number])[];
    readonly kind: OwnAnswerKind;
    readonly bytes: number;
    readonly mayGrow: boolean;
}

const { Runner: runner, Peer: peer, Store: store } = OwnAnswerKind;

describe("the memory for a node's own answers", () => {
    const cases: readonly MemoryCase[] = [
        { name: "a report within half of the memory grows", held: [], kind: runner, bytes: 500, mayGrow: true },
        { name: "a report beyond half of the memory is given up", held: [], kind: runner, bytes: 501, mayGrow: false },
        {
            name: "a report above its equal share is given up while large ones fill the memory",
            held: [[runner, 400]],
            kind: runner,
            bytes: 251,
            mayGrow: false,
        },
        { name: "a report below its equal share grows while large ones fill the memory", held: [[runner, 400]], kind: runner, bytes: 250, mayGrow: true },
        { name: "a peer's answer grows while reports fill their part", held: [[runner, 500]], kind: peer, bytes: 500, mayGrow: true },
        { name: "a peer's answer beyond the memory is given up", held: [], kind: peer, bytes: 1_001, mayGrow: false },
        { name: "an answer of the store grows while others fill the memory", held: [[runner, 500], [peer, 500]], kind: store, bytes: 9_000, mayGrow: true },
        { name: "a report below its equal share grows while the store fills the memory", held: [[store, 9_000]], kind: runner, bytes: 500, mayGrow: true },
    ];
    for (const { name, held, kind, bytes, mayGrow } of cases) {
        it(name, () => {
            const budget = MemoryBudget.create({ limitBytes: () => 10_000, random: () => 0.5 });
            const memory = OwnAnswerMemory.create(() => 5_000, budget);
            const others = held.map(([other, otherBytes]) => {
                const hold = memory.open(other);
                hold.grow(otherBytes);
                return hold;
            });
            const hold = memory.open(kind);
            assert.equal(hold.grow(bytes), mayGrow);
            assert.equal(budget.usedBy(MemoryHolder.OwnAnswers), memory.used);
            [hold, ...others].forEach(opened => opened.release());
            assert.equal(memory.used, 0);
            assert.equal(budget.usedBytes, 0);
            memory.open(store).grow(9_000);
            assert.equal(memory.open(runner).grow(500), true, "no holder is left");
        });
    }
});

/** A report that names so many models in memory and on disk. */
const reportOf = (models: number): string => {
    const names = [...Array(models).keys()].map(index => `${"m".repeat(90)}-${index}`);
    return JSON.stringify({ models: [], atHand: { inMemory: names, onDisk: names }, busy: false, seq: 0, queued: 0, active: 0 });
};

interface ReportCase {
    readonly name: string;
    readonly models: number;
    readonly maxOwnAnswerBytes: number;
    readonly failure?: { readonly detail: string; readonly kind: FailureKind; };
}

describe("the client of runners", () => {
    const reportCases: readonly ReportCase[] = [
        { name: "reads a report of 1,400 models", models: 1_400, maxOwnAnswerBytes: 16 * megabyte },
        {
            name: "gives up a report beyond the limit of reports and closes its connection",
            models: 8_000,
            maxOwnAnswerBytes: 16 * megabyte,
            failure: { detail: "ANSWER_TOO_LARGE", kind: FailureKind.UpstreamLost },
        },
        {
            name: "counts a report that is given up for want of memory as one of the runner, so that it is asked again later, and closes its connection",
            models: 1_400,
            maxOwnAnswerBytes: 100_000,
            failure: { detail: "ANSWER_MEMORY_SHORT", kind: FailureKind.UpstreamLost },
        },
    ];
    for (const { name, models, maxOwnAnswerBytes, failure } of reportCases) {
        it(name, async () => {
            const server = await startTroubledServer(answerSlowly(reportOf(models), 4, 10));
            const memory = OwnAnswerMemory.create(() => maxOwnAnswerBytes);
            try {
                const client = RunnerClient.create(defaultTransportLimits, () => undefined, memory);
                const result = await client.fetchReport({ id: "u1", address: server.address, bornAt: 1 }).catch(toFailure);
                if (failure) {
                    assert.deepEqual("detail" in result && { detail: result.detail, kind: result.kind }, failure);
                    await waitFor("the end of the connection", () => Promise.resolve(server.openCount === 0), 200);
                }
                else {
                    assert.equal("onDisk" in result && result.onDisk.length, models);
                }
                assert.equal(memory.used, 0);
                assert.equal(memory.givenUp, failure ? 1 : 0);
            }
            finally {
                server.close();
            }
        });
    }
});

describe("the client of the store", () => {
    it("reads an answer beyond the memory for a node's own answers", async () => {
        const rows = [...Array(500).keys()].map(index => ({ key: `k${index}`, value: "A".repeat(4_000), ver: 1 }));
        const server = await startTroubledServer(answerSlowly(JSON.stringify({ rows, ver: 1, nowMs: 1 }), 10, 10));
        try {
            const client = StoreClient.create(server.address, defaultTransportLimits);
            const memory = OwnAnswerMemory.create(() => 1_000);
            client.answers = memory;
            assert.equal((await client.readTable("t")).rows.length, 500);
            assert.equal(memory.used, 0);
        }
        finally {
            server.close();
        }
    });
});
