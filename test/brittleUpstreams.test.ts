import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { BrittleUpstreams } from "../src/core/brittleUpstreams";
import { ChangeOrigin } from "../src/core/sharedLog";
import type { UpstreamWord } from "../src/types/upstreamWord";
import { IgnoredHeader } from "../src/types/upstreamWord";
import { setupLogs } from "../src/utils/events";

const first = { id: "u1", bornAt: 5, service: "svc" };
const second = { id: "u2", bornAt: 5, service: "svc" };
const other = { id: "u3", bornAt: 5, service: "other" };
const restarted = { ...first, bornAt: 9 };
const serviceOf = (id: string): string | undefined => [first, second, other].find(server => server.id === id)?.service;

const silent: UpstreamWord = { isLeaving: false, isMisdirected: false, isSigned: true, ignoredHeaders: [] };
const brittle: UpstreamWord = { ...silent, maxRejectionsPerS: 8 };

describe("what is known of brittle upstreams", () => {
    let clock: ReturnType<typeof install>;
    let known: BrittleUpstreams;
    let outgoing: number;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => {
        clock = install({ toFake: ["performance"] });
        clock.tick(100_000);
        outgoing = 0;
        known = BrittleUpstreams.create({ value: 0 }, serviceOf);
        known.onOutgoing = () => outgoing++;
    });
    afterEach(() => clock.uninstall());

    const answerIn = (ms: number, word: UpstreamWord, process = first): void => {
        const sentAt = performance.now();
        clock.tick(ms);
        known.onAnswer(process, word, "id-1", sentAt);
    };

    interface Case {
        readonly name: string;
        readonly act: () => void;
        /** Of `first`, `second`, `other` and `restarted`. */
        readonly limits: readonly (number | undefined)[];
        readonly outgoing: number;
    }
    const all = [first, second, other, restarted];
    const cases: readonly Case[] = [
        { name: "nothing is, at first", act: () => undefined, limits: [undefined, undefined, undefined, undefined], outgoing: 0 },
        {
            name: "an answer without the word says nothing then",
            act: () => answerIn(5, silent),
            limits: [undefined, undefined, undefined, undefined],
            outgoing: 0,
        },
        {
            name: "an answer counts for its process, and for those of its service that nothing is known of",
            act: () => answerIn(5, brittle),
            limits: [8, 8, undefined, 8],
            outgoing: 1,
        },
        {
            name: "an answer without a signature counts",
            act: () => answerIn(5, { ...brittle, isSigned: false }),
            limits: [8, 8, undefined, 8],
            outgoing: 1,
        },
        {
            name: "a confirmed word is told once",
            act: () => {
                answerIn(5, brittle);
                answerIn(5, brittle);
            },
            limits: [8, 8, undefined, 8],
            outgoing: 1,
        },
        {
            name: "another number replaces it",
            act: () => {
                answerIn(5, brittle);
                answerIn(5, { ...brittle, maxRejectionsPerS: 3 });
            },
            limits: [3, 3, undefined, 3],
            outgoing: 2,
        },
        {
            name: "an answer that no longer has it ends it",
            act: () => {
                answerIn(5, brittle);
                clock.tick(5);
                answerIn(5, silent);
            },
            limits: [undefined, undefined, undefined, undefined],
            outgoing: 2,
        },
        {
            name: "it ends for one process alone while another one still says so",
            act: () => {
                answerIn(5, brittle);
                clock.tick(5);
                answerIn(5, silent);
                answerIn(5, brittle, second);
            },
            limits: [undefined, 8, undefined, 8],
            outgoing: 3,
        },
        {
            name: "an answer to a request from before the word does not end it",
            act: () => {
                const sentAt = performance.now();
                answerIn(5, brittle);
                clock.tick(5);
                known.onAnswer(first, silent, "id-1", sentAt);
            },
            limits: [8, 8, undefined, 8],
            outgoing: 1,
        },
        {
            name: "an answer without a signature does not end it",
            act: () => {
                answerIn(5, brittle);
                clock.tick(5);
                answerIn(5, { ...silent, isSigned: false });
            },
            limits: [8, 8, undefined, 8],
            outgoing: 1,
        },
        {
            name: "an answer with a word that cannot be read does not end it",
            act: () => {
                answerIn(5, brittle);
                clock.tick(5);
                answerIn(5, { ...silent, ignoredHeaders: [IgnoredHeader.BrittleValue] });
            },
            limits: [8, 8, undefined, 8],
            outgoing: 1,
        },
        {
            name: "an answer of another service does not end it",
            act: () => {
                answerIn(5, brittle);
                clock.tick(5);
                answerIn(5, silent, other);
            },
            limits: [8, 8, undefined, 8],
            outgoing: 1,
        },
        {
            name: "a word of an earlier process does not replace that of a later one",
            act: () => {
                answerIn(5, brittle, restarted);
                answerIn(5, { ...brittle, maxRejectionsPerS: 3 });
            },
            limits: [8, 8, undefined, 8],
            outgoing: 1,
        },
        {
            name: "a word that is not confirmed expires",
            act: () => {
                answerIn(5, brittle);
                clock.tick(600_000);
            },
            limits: [undefined, undefined, undefined, undefined],
            outgoing: 1,
        },
        {
            name: "the newest of two nodes' words counts, whichever comes first",
            act: () => {
                known.add({ ...first, maxRejectionsPerS: undefined, ageMs: 100 });
                known.add({ ...first, maxRejectionsPerS: 8, ageMs: 200 });
            },
            limits: [undefined, undefined, undefined, undefined],
            outgoing: 1,
        },
        {
            name: "an end that is older than a confirmation is ignored",
            act: () => {
                answerIn(5, brittle);
                clock.tick(1_000);
                answerIn(5, brittle);
                known.add({ ...first, maxRejectionsPerS: undefined, ageMs: 500 });
            },
            limits: [8, 8, undefined, 8],
            outgoing: 1,
        },
        {
            name: "a word from the uplink is not sent back",
            act: () => known.add({ ...first, maxRejectionsPerS: 8, ageMs: 100 }, ChangeOrigin.Uplink),
            limits: [8, 8, undefined, 8],
            outgoing: 0,
        },
    ];
    for (const { name, act, limits, outgoing: expected } of cases) {
        it(name, () => {
            act();
            assert.deepEqual(all.map(server => known.limitOf(server)), limits);
            assert.equal(outgoing, expected);
        });
    }

    it("is bounded", () => {
        for (let index = 0; index < 2_200; index++) {
            known.add({ id: `r${index}`, bornAt: 1, maxRejectionsPerS: 8, ageMs: 0 });
            clock.tick(1);
        }
        assert.equal(known.size, 2_048);
    });
});
