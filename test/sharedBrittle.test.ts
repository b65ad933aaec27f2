import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { CrashLog } from "../src/core/crashLog";
import { RunnerLimits } from "../src/core/runnerLimits";
import { UpstreamAvailability } from "../src/core/upstreamAvailability";
import { UpstreamDirectory } from "../src/core/upstreamDirectory";
import { FactExchange } from "../src/placement/factExchange";
import { decodePeerAnswer } from "../src/placement/peerAnswerDecoder";
import type { SharedFacts } from "../src/types/sharedFacts";
import type { UpstreamServer } from "../src/types/upstreamServer";
import { UpstreamState } from "../src/types/upstreamServer";
import type { UpstreamWord } from "../src/types/upstreamWord";
import { setupLogs } from "../src/utils/events";

const process = { id: "u1", bornAt: 5, service: "svc" };
const silent: UpstreamWord = { isLeaving: false, isMisdirected: false, isSigned: true, ignoredHeaders: [] };
const brittle: UpstreamWord = { ...silent, maxRejectionsPerS: 8 };

describe("brittle upstreams that nodes tell each other of", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    const server: UpstreamServer = {
        ...process,
        address: "127.0.0.1:9",
        availabilityZone: "a",
        slots: 4,
        state: UpstreamState.Ready,
        models: [],
        inMemory: [],
        onDisk: [],
        acceptedOrders: 0,
    };
    const createNode = () => {
        const counter = { value: 0 };
        const directory = UpstreamDirectory.create();
        directory.apply({ id: server.id, version: 1, server });
        const availability = UpstreamAvailability.create(directory, undefined, counter);
        return { availability, exchange: FactExchange.create(counter, CrashLog.create(counter), RunnerLimits.create(counter), availability) };
    };

    it("reach a node through another one, and their end does", () => {
        const [a, b, c] = [createNode(), createNode(), createNode()];
        const report = (from: typeof a, to: typeof a): void => {
            const prepared = from.exchange.prepare("hub");
            from.exchange.onAnswer(prepared, to.exchange.serve(structuredClone(prepared.report)));
        };
        a.availability.onAnswer(server, brittle);
        report(a, b);
        report(c, b);
        assert.deepEqual([b, c].map(({ availability }) => availability.brittle.limitOf(server)), [8, 8]);
        c.availability.onAnswer(server, silent, "id-1", performance.now() + 1);
        report(c, b);
        report(a, b);
        assert.deepEqual([a, b].map(({ availability }) => availability.brittle.limitOf(server)), [undefined, undefined]);
    });

    const answerWith = (facts: unknown): unknown => ({
        peersVersion: 0,
        nodeCount: 1,
        configVersion: 0,
        directoryVersion: 0,
        changes: [],
        facts: { source: "s", revision: 1, facts },
    });
    const none = { crashes: [], limits: [] };
    const wire: readonly { readonly name: string; readonly facts: unknown; readonly brittle: SharedFacts["brittle"]; }[] = [
        { name: "nodes of earlier versions, which name none", facts: none, brittle: undefined },
        {
            name: "entries of an odd form beside a sound one",
            facts: {
                ...none,
                brittle: [{ id: "u1" }, { id: "u1", bornAt: 5, maxRejectionsPerS: -1, ageMs: 0 }, { ...process, maxRejectionsPerS: 8, ageMs: 3 }],
            },
            brittle: [{ ...process, maxRejectionsPerS: 8, ageMs: 3 }],
        },
    ];
    for (const { name, facts, brittle: expected } of wire) {
        it(`are read from ${name}`, () => assert.deepEqual(decodePeerAnswer(answerWith(facts)).facts?.facts.brittle, expected));
    }
});
