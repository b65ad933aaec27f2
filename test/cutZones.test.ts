import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../src/utils/random";
import { sleep } from "../src/utils/time";
import { CutFleet } from "./fakes/cutFleet";
import type { LinkCut } from "./fakes/linkCut";
import { NewLinks, OpenLinks } from "./fakes/linkCut";
import { waitFor } from "./fakes/processes";

const zones = ["a", "a", "b", "b", "c", "c", "d"];
/** Number of its fleet on loopback; those of other test files differ. */
const subnet = 80;
const callerCount = 70;
const cutMs = 8_000;
const betweenMs = 5_000;
/** Time within which nodes must have noticed that a cut began or ended. */
const contactMs = 3_000;
/** First tries that may fail at the nodes that are cut off: a number, and a share of all first tries. */
const allowedFailures = 10;
const allowedFailureShare = 1 / 50;
const minRelativeShare = 2 / 3;
const stoppedNode = 4;
/** Time after the beginning of the last cut at which another node is stopped. */
const stopAfterMs = 2_500;

/** What becomes of the nodes that are cut off at a time, by their indices. */
const cuts: readonly ReadonlyMap<number, LinkCut>[] = [
    new Map([[2, { open: OpenLinks.Silent, new: NewLinks.Hang }], [3, { open: OpenLinks.Reset, new: NewLinks.Reset }]]),
    new Map([
        [0, { open: OpenLinks.Silent, new: NewLinks.Silent }],
        [2, { open: OpenLinks.Reset, new: NewLinks.Refused }],
        [3, { open: OpenLinks.LiveOn, new: NewLinks.Refused }],
        [6, { open: OpenLinks.Silent, new: NewLinks.Hang }],
    ]),
];

const shareServed = (calls: readonly { readonly isServed: boolean; }[]): number => calls.filter(({ isServed }) => isServed).length / calls.length;

/** Guards against nodes of a zone that look for a path among themselves, and against a second cut or a planned stop that finds nodes unprepared. */
describe("seven nodes in four availability zones", () => {
    it("serve their callers while all nodes of a zone are cut off, then others with them and beside a planned stop", async () => {
        const fleet = await CutFleet.start(subnet, undefined, zones);
        const ended = new AbortController();
        try {
            await waitFor("answers of all nodes", () => fleet.isServing());
            const callers = [...Array(callerCount).keys()].map(caller =>
                fleet.runCaller(caller % zones.length, `c${caller}`, createRandom(caller), ended.signal)
            );
            await sleep(contactMs);
            const spans: { readonly from: number; readonly until: number; }[] = [];
            for (const [index, cut] of cuts.entries()) {
                const cutAt = performance.now();
                cut.forEach((link, node) => fleet.setCut(node, link));
                if (index === cuts.length - 1) {
                    await sleep(stopAfterMs);
                    void fleet.stop(stoppedNode);
                }
                await sleep(cutAt + cutMs - performance.now());
                [...cut.keys()].forEach(node => fleet.setCut(node, undefined));
                spans.push({ from: cutAt + contactMs, until: performance.now() });
                await sleep(betweenMs);
            }
            ended.abort();
            await Promise.all(callers);
            const calls = fleet.calls.filter(({ node }) => node !== stoppedNode);
            for (const [index, { from, until }] of spans.entries()) {
                const during = calls.filter(({ sentAt }) => sentAt >= from && sentAt < until);
                const atCut = during.filter(({ node }) => cuts[index]!.has(node));
                const elsewhere = during.filter(({ node }) => !cuts[index]!.has(node));
                const failed = atCut.filter(({ isServed }) => !isServed);
                const seen = `cut ${index}: ${atCut.length - failed.length} of ${atCut.length} there; ${
                    failed.slice(0, 12).map(({ node, kind, status, sentAt, endedAt }) =>
                        `${kind} ${status} at node ${node}, ${Math.round(sentAt - from)}, after ${Math.round(endedAt - sentAt)}`
                    ).join("; ")
                }`;
                assert.ok(atCut.length > 0 && elsewhere.length > 0, "no requests");
                assert.ok(shareServed(atCut) >= minRelativeShare * shareServed(elsewhere), seen);
                assert.ok(failed.length <= allowedFailures + allowedFailureShare * during.length, seen);
                assert.deepEqual(elsewhere.filter(({ isServed }) => !isServed), [], "all are served elsewhere");
                const afterwards = calls.filter(({ sentAt }) => sentAt >= until + contactMs && sentAt < until + betweenMs - contactMs / 2);
                assert.deepEqual(afterwards.filter(({ isServed }) => !isServed), [], "all are served once the cut has ended");
            }
            const once = fleet.calls.filter(({ kind }) => kind === "non_idempotent");
            assert.deepEqual(once.filter(({ id }) => fleet.runsOf(id) > 1), [], "nothing runs twice");
            assert.deepEqual(once.filter(({ id, status }) => status === 503 && fleet.runsOf(id) > 0), [], "what is refused has not run");
        }
        finally {
            ended.abort();
            fleet.close();
        }
    });
});
