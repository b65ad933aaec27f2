import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { describeLoad } from "./callerLoad/describeLoad";
import { violations } from "./callerLoad/loadJudge";
import { graceS } from "./callerLoad/loadNode";
import { parseLoadOptions } from "./callerLoad/loadOptions";
import { runCallerLoad } from "./callerLoad/runCallerLoad";

const minRequests = 200;

/** Options of runs that failed before, with the cause. */
const runs: readonly { readonly args: readonly string[]; readonly cause: string; }[] = [
    { args: ["--seed", "1", "--seconds", "12", "--callers", "60", "--one-core"], cause: "whole answers counted as reset; chunked bodies were never answered" },
    {
        args: [
            "--seed",
            "1",
            "--seconds",
            "20",
            "--callers",
            "120",
            "--one-core",
            "--busy",
            "4",
            "--connection-per-request",
            "--max-body",
            "60000",
            "--max-work",
            "300",
            "--max-answer",
            "1000",
        ],
        cause: "a stopping node closed its listener while requests waited in the backlog",
    },
];

describe("callers on kept connections while nodes as processes are stopped in turn", () => {
    for (const { args, cause } of runs) {
        it(`lose no request (${args.join(" ")}, regression: ${cause})`, async () => {
            const options = parseLoadOptions(args);
            const result = await runCallerLoad(options);
            const text = describeLoad(result, options);
            assert.deepEqual([...result.byJudgement.keys()].filter(judgement => violations.has(judgement)), [], text);
            assert.deepEqual(result.nodes.flatMap(({ unexpectedEnds }) => unexpectedEnds), [], text);
            assert.ok(result.stopsMs.length > 0 && result.stopsMs.every(ms => ms <= graceS * 1_000), text);
            assert.ok(result.records.length > minRequests, text);
        });
    }
});
