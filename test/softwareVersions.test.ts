import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import type { ForwardingCase } from "./fakes/forwardingCase";
import { testForwarding } from "./fakes/forwardingCase";
import { brokenStream, refuse, resumedStream, sseEvents } from "./fakes/upstreamScripts";
import { VersionFleet } from "./fakes/versionFleet";

const streamCount = 24;

const answerCases: readonly ForwardingCase[] = [
    {
        name: "does not resume a stream at a runner of another software version",
        kind: RouteKind.Streaming,
        isResumable: true,
        maxAttempts: 2,
        scripts: [brokenStream, resumedStream],
        softwareVersions: ["v1", "v1.1"],
        status: 200,
        isComplete: false,
        received: 1,
    },
    {
        name: "resumes a stream at another runner of the version that began it",
        kind: RouteKind.Streaming,
        isResumable: true,
        maxAttempts: 2,
        scripts: [brokenStream, resumedStream, resumedStream],
        softwareVersions: ["v1", "v1.1", "v1"],
        status: 200,
        body: sseEvents(1, 4),
        received: 2,
        check: ({ upstreams }) => assert.equal(upstreams[1]!.received.length, 0),
    },
    {
        name: "sends a request that has not begun to a runner of another version",
        scripts: [refuse, resumedStream],
        softwareVersions: ["v1", "v1.1"],
        status: 200,
        received: 2,
    },
];

/** What happens between the break of the streams and their take-up. */
interface TakeUpCase {
    readonly name: string;
    readonly change: (fleet: VersionFleet) => Promise<void> | void;
    /** Whether every stream goes on; otherwise those whose version is gone are refused. */
    readonly goesOn: boolean;
}

const takeUpCases: readonly TakeUpCase[] = [
    { name: "at another node", change: () => undefined, goesOn: true },
    { name: "after all nodes were restarted", change: fleet => fleet.restartNodes(), goesOn: true },
    {
        name: "after the version that began some has left and all nodes were restarted",
        change: async fleet => {
            fleet.removeRunner("a1");
            fleet.removeRunner("a2");
            await fleet.restartNodes();
        },
        goesOn: false,
    },
];

describe("software versions", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    answerCases.forEach(testForwarding);
    takeUpCases.forEach(({ name, change, goesOn }) =>
        it(`takes streams up at the version that began them, ${name}`, async () => {
            const fleet = await VersionFleet.create(3);
            await fleet.addRunner("a1", "v1");
            await fleet.addRunner("a2", "v1");
            await fleet.addRunner("b1", "v1.1");
            await fleet.addRunner("b2", "v1.1");
            const begun = await fleet.beginStreams(streamCount);
            await change(fleet);
            // In another order than they began, so that an even spread does not match by coincidence.
            const inOtherOrder = [...begun].sort((one, other) => one.body.localeCompare(other.body));
            const streams = await Promise.all(inOtherOrder.map((stream, index) => fleet.takeUp(fleet.nodes[(index + 1) % fleet.nodes.length]!, stream)));
            fleet.close();
            const begunVersions = new Set(begun.map(({ body }) => /data: (\S+)/.exec(body)?.[1]));
            assert.deepEqual([...begunVersions].sort(), ["v1", "v1.1"], "streams begin at both versions");
            assert.equal(streams.filter(({ versions }) => versions.size > 1).length, 0, "streams with events of two versions");
            const refused = streams.filter(({ status }) => status === 503).length;
            const ofV1 = begun.filter(({ body }) => body.includes("data: v1\n")).length;
            assert.equal(refused, goesOn ? 0 : ofV1);
            assert.equal(streams.filter(({ isComplete, status }) => isComplete && status === 200).length, streamCount - refused);
        })
    );
});
