import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { CrashRecord } from "../src/core/findCrashingParts";
import { findCrashingParts } from "../src/core/findCrashingParts";

const crashGapMs = 1_000;

/** Crashes one second apart; each lists the suspected requests as space-separated parts. */
const crashesOf = (...suspects: readonly (readonly string[])[]): readonly CrashRecord[] =>
    suspects.map((requests, index) => ({
        id: `r${index}`,
        at: index * crashGapMs,
        suspects: requests.map(parts => parts.split(" ")),
        cleared: new Set(),
    }));

interface Case {
    readonly name: string;
    readonly crashes: readonly CrashRecord[];
    /** Parts on which runners have answered before. */
    readonly answered?: readonly string[];
    /** The parts of each quarantine, space-separated. */
    readonly quarantines: readonly string[];
}

/** As a soak found them: two parts crash runners, in requests of two paths that have sound ones, too. */
const soakCrashes = crashesOf(
    ["a bad1 request:p request:1"],
    ["a request:w request:2"],
    ["a bad1 request:w request:3", "a request:w request:4", "a request:p request:5"],
    ["a bad1 request:p request:6", "a bad2 request:w request:7"],
    ["a bad2 request:p request:8"],
    ["a bad2 request:w request:9", "a request:p request:5"],
    ["a bad2 request:w request:10", "a request:p request:11"],
    ["a bad1 request:w request:12", "a request:p request:11"],
);

const cases: readonly Case[] = [
    { name: "finds nothing after two crashes", crashes: crashesOf(["a bad"], ["a bad"]), quarantines: [] },
    {
        name: "finds the part that all crashes share",
        crashes: crashesOf(["a bad", "b c"], ["d bad", "a c"], ["e bad", "b f"]),
        quarantines: ["bad"],
    },
    { name: "names parts that always come together", crashes: crashesOf(["a bad"], ["a bad"], ["a bad"]), quarantines: ["bad a"] },
    {
        name: "does not name a part that a suspected request lacked",
        crashes: crashesOf(["a bad"], ["a bad"], ["b bad"]),
        quarantines: ["bad"],
    },
    {
        name: "does not name a part that was answered",
        crashes: crashesOf(["a bad"], ["a bad"], ["a bad"]).map(crash => ({ ...crash, cleared: new Set(["a"]) })),
        quarantines: ["bad"],
    },
    {
        name: "finds two parts, each by its own crashes",
        crashes: crashesOf(["a bad1"], ["b bad2"], ["c bad1"], ["d bad2"], ["e bad1"], ["f bad2"]),
        quarantines: ["bad1", "bad2"],
    },
    {
        name: "finds both of two parts that were in progress at the same runner when it crashed",
        crashes: crashesOf(["a bad1"], ["b bad2"], ["c bad1"], ["d bad2"], ["e bad1", "f bad2"], ["g bad2"]),
        quarantines: ["bad2", "bad1"],
    },
    {
        name: "does not blame a part for crashes that another one explains",
        crashes: crashesOf(["a bad", "x y"], ["b bad", "x z"], ["c bad", "x w"], ["d bad"]),
        quarantines: ["bad"],
    },
    {
        name: "counts crashes at the same moment once",
        crashes: crashesOf(["a hot"], ["b hot"], ["c hot"]).map(crash => ({ ...crash, at: crash.at / 100 })),
        quarantines: [],
    },
    {
        name: "blames the specific part, not a common one that is in progress at any crash",
        crashes: crashesOf(["a bad", "a c0", "a c1"], ["a c2", "a bad"], ["a c3", "a bad"]),
        quarantines: ["bad a"],
    },
    {
        name: "does not blame a common part for the crashes of two others, of which one is not known yet",
        crashes: crashesOf(["a bad1", "a"], ["a bad1", "a"], ["a bad1"], ["a bad2", "a"], ["a bad2", "a"]),
        answered: ["a"],
        quarantines: ["bad1 a"],
    },
    {
        name: "does not blame a common part for the first crashes of three others",
        crashes: crashesOf(["a bad1", "a"], ["a bad2", "a"], ["a bad3", "a"], ["a bad1"], ["a bad2"]),
        answered: ["a"],
        quarantines: [],
    },
    {
        name: "blames a common part that crashes runners with ever new other parts",
        crashes: crashesOf(["bad u"], ["bad v"], ["bad w"]),
        quarantines: ["bad"],
    },
    {
        name: "asks for more of a part that was answered before",
        crashes: crashesOf(["bad"], ["bad"], ["bad"], ["bad"]),
        answered: ["bad"],
        quarantines: [],
    },
    {
        name: "blames a part that was answered before and no longer is",
        crashes: crashesOf(["bad"], ["bad"], ["bad"], ["bad"], ["bad"]),
        answered: ["bad"],
        quarantines: ["bad"],
    },
    {
        name: "blames a common part once its requests crash runners without the other parts",
        crashes: crashesOf(["bad x"], ["bad x"], ["bad x"], ["bad"], ["bad"], ["bad"]),
        quarantines: ["x bad", "bad"],
    },
    {
        name: "blames a request that comes again, not the common part that it shares with sound ones",
        crashes: crashesOf(["a request:x", "a request:1"], ["a request:x", "a request:2"], ["a request:x", "a request:3"]),
        answered: ["a"],
        quarantines: ["request:x a"],
    },
    {
        name: "blames a part although each request with it came several times",
        crashes: crashesOf(["bad request:1"], ["bad request:1"], ["bad request:1"], ["bad request:2"], ["bad request:2"], ["bad request:2"]),
        quarantines: ["bad"],
    },
    {
        name: "blames an answered part as soon as ever, although each request has a key of its own",
        crashes: crashesOf(["bad request:1"], ["bad request:2"], ["bad request:3"], ["bad request:4"], ["bad request:5"]),
        answered: ["bad"],
        quarantines: ["bad"],
    },
    {
        name: "blames the path and body of a request that comes with other queries",
        crashes: crashesOf(["request:x request:1"], ["request:x request:2"], ["request:x request:3"]),
        quarantines: ["request:x"],
    },
    {
        name: "does not blame the path and body that two crashing parts share with sound requests",
        crashes: soakCrashes,
        answered: ["a", "request:p", "request:w"],
        quarantines: ["bad1 a", "bad2 a"],
    },
    {
        name: "does not blame that path and body at a node that has seen no answer of its own",
        crashes: soakCrashes.map(crash => ({ ...crash, cleared: new Set(["a", "request:p"]) })),
        quarantines: ["bad1", "bad2"],
    },
    {
        name: "blames the path and body beside a part, once crashes without that part show it",
        crashes: crashesOf(
            ["a bad request:v request:1", "a request:w request:2"],
            ["a bad request:v request:3"],
            ["a bad request:v request:4"],
            ["a request:w request:5"],
            ["a request:w request:6"],
            ["a request:w request:7"],
        ),
        answered: ["a"],
        quarantines: ["request:w a", "request:v a bad"],
    },
    { name: "finds nothing in crashes with different parts", crashes: crashesOf(["a b"], ["c d"], ["e f"], ["g h"]), quarantines: [] },
];

describe("prompt parts that explain crashes", () => {
    for (const { name, crashes, answered = [], quarantines } of cases) {
        it(name, () => assert.deepEqual(findCrashingParts(crashes, part => answered.includes(part)).map(({ parts }) => parts.join(" ")), quarantines));
    }
});
