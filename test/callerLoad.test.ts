import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { judge, Judgement } from "./callerLoad/loadJudge";
import { LoadNode } from "./callerLoad/loadNode";
import { parseLoadOptions } from "./callerLoad/loadOptions";
import type { LoadRecord } from "./callerLoad/loadRecord";
import { CallerEnd, UpstreamEnd } from "./callerLoad/loadRecord";
import { AnswerFault, drawRequest } from "./callerLoad/requestPlan";

const options = parseLoadOptions([]);
const plan = { ...drawRequest("id", options, () => 0.5), deadlineMs: 10_000, fault: undefined };
const base = { plan, node: "n0", startedAt: 0, sentAt: 10 };
const cut = { ...base, end: CallerEnd.Cut, status: 200, endedAt: 6_000, passedOnAt: 20 };

/** Requests of one kind each, with a stop of their node at 1,000 ms where the case says so. */
const cases: readonly { readonly name: string; readonly record: LoadRecord; readonly hasStop?: boolean; readonly judgement: Judgement; }[] = [
    { name: "a whole answer", record: { ...base, end: CallerEnd.Whole, status: 200, endedAt: 50 }, judgement: Judgement.Served },
    { name: "a refusal", record: { ...base, end: CallerEnd.Whole, status: 503, endedAt: 50 }, judgement: Judgement.Refused },
    { name: "another body", record: { ...base, end: CallerEnd.WrongBody, status: 200, endedAt: 50 }, judgement: Judgement.WrongBody },
    {
        name: "502 though the upstream's answer was whole",
        record: { ...base, end: CallerEnd.Whole, status: 502, endedAt: 50, passedOnAt: 20, upstreamEnd: UpstreamEnd.Whole },
        judgement: Judgement.ErrorUnderSound,
    },
    {
        name: "504 after its time",
        record: { ...base, end: CallerEnd.Whole, status: 504, endedAt: 10_001, passedOnAt: 9_900, upstreamEnd: UpstreamEnd.Whole },
        judgement: Judgement.TimedOut,
    },
    {
        name: "502 of a faulty upstream",
        record: { ...base, plan: { ...plan, fault: AnswerFault.ResetMidway }, end: CallerEnd.Whole, status: 502, endedAt: 50, passedOnAt: 20 },
        judgement: Judgement.UpstreamFailed,
    },
    { name: "a cut answer of a sound upstream", record: { ...cut, upstreamEnd: UpstreamEnd.Whole, upstreamEndedAt: 100 }, judgement: Judgement.LostPassedOn },
    {
        name: "a cut answer of an upstream that broke off",
        record: { ...cut, plan: { ...plan, fault: AnswerFault.CloseMidway }, upstreamEnd: UpstreamEnd.Faulty },
        judgement: Judgement.UpstreamFailed,
    },
    { name: "a cut answer after its time", record: { ...cut, endedAt: 10_001 }, judgement: Judgement.TimedOut },
    { name: "a cut at the grace's end, at work", record: { ...cut, endedAt: 9_000, upstreamEndedAt: 9_000 }, hasStop: true, judgement: Judgement.Excused },
    { name: "a cut early in a stop", record: { ...cut, endedAt: 5_000, upstreamEndedAt: 5_000 }, hasStop: true, judgement: Judgement.LostPassedOn },
    {
        name: "a cut at the grace's end of what came late",
        record: { ...cut, startedAt: 4_500, sentAt: 4_600, passedOnAt: 4_700, endedAt: 9_000, upstreamEndedAt: 9_000 },
        hasStop: true,
        judgement: Judgement.LostPassedOn,
    },
    { name: "a late close without an answer", record: { ...base, end: CallerEnd.Closed, endedAt: 211 }, judgement: Judgement.LostUnsent },
    { name: "a close that the request crossed", record: { ...base, end: CallerEnd.Closed, endedAt: 209 }, judgement: Judgement.Crossed },
    { name: "a body that was cut", record: { ...base, sentAt: undefined, end: CallerEnd.Closed, endedAt: 900 }, judgement: Judgement.CutWhileSent },
    { name: "no answer", record: { ...base, end: CallerEnd.None, endedAt: 13_000 }, judgement: Judgement.Unanswered },
];

describe("the judge of the callers' load", () => {
    for (const { name, record, hasStop = false, judgement } of cases) {
        it(`takes ${name} for "${judgement}"`, async () => {
            const node = await LoadNode.create("n0", 1, ".", undefined);
            if (hasStop) {
                node.stops.push({ requestedAt: 1_000 });
            }
            assert.equal(judge(record, node), judgement);
        });
    }
});

describe("the command line of the callers' load", () => {
    const lines: readonly (readonly string[])[] = [
        ["--callers", "0"],
        ["--seed", "x"],
        ["--seconds"],
        ["--other", "1"],
        ["--faulty", "1.5"],
        ["--max-body", ""],
        ["--max-answer", "-5"],
        ["--max-work", "0"],
        ["extra"],
    ];
    for (const line of lines) {
        it(`does not accept ${JSON.stringify(line.join(" "))}`, () => {
            assert.throws(() => parseLoadOptions(line));
        });
    }
});
