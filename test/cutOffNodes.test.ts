import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../src/utils/random";
import { sleep } from "../src/utils/time";
import { CutFleet } from "./fakes/cutFleet";
import type { LinkCut } from "./fakes/linkCut";
import { NewLinks, OpenLinks } from "./fakes/linkCut";
import { waitFor } from "./fakes/processes";

const callersPerNode = 15;
const nodeCount = 3;
const calmMs = 2_000;
const cutMs = 9_000;
const afterMs = 5_000;
/** Time within which nodes must have noticed that a cut began or ended. */
const contactMs = 3_000;
/** First tries that may fail at the nodes that are cut off: a number, and a share of all first tries. */
const allowedFailures = 10;
const allowedFailureShare = 1 / 50;
const minRelativeShare = 2 / 3;

const shareServed = (calls: readonly { readonly isServed: boolean; }[]): number => calls.filter(({ isServed }) => isServed).length / calls.length;

/** Guards against nodes without a path to any upstream that fail their callers although other nodes have one. */
describe("nodes that are cut off from all upstreams", { concurrency: 3 }, () => {
    interface Case {
        readonly name: string;
        readonly cuts: readonly LinkCut[];
    }
    const cases: readonly Case[] = [
        { name: "silent connections, new ones hang", cuts: [{ open: OpenLinks.Silent, new: NewLinks.Hang }] },
        { name: "silent connections, new ones open and stay silent", cuts: [{ open: OpenLinks.Silent, new: NewLinks.Silent }] },
        { name: "open and new connections are reset", cuts: [{ open: OpenLinks.Reset, new: NewLinks.Reset }] },
        { name: "open connections live on, new ones are refused", cuts: [{ open: OpenLinks.LiveOn, new: NewLinks.Refused }] },
        {
            name: "two nodes of three, cut off differently",
            cuts: [{ open: OpenLinks.Silent, new: NewLinks.Hang }, { open: OpenLinks.Reset, new: NewLinks.Refused }],
        },
    ];
    for (const [index, { name, cuts }] of cases.entries()) {
        it(`serve their callers: ${name}`, async () => {
            const fleet = await CutFleet.start(index + 1);
            const stopped = new AbortController();
            try {
                await waitFor("answers of all nodes", () => fleet.isServing());
                const callers = [...Array(nodeCount * callersPerNode).keys()].map(caller =>
                    fleet.runCaller(caller % nodeCount, `c${caller}`, createRandom(index * 1_000 + caller), stopped.signal)
                );
                await sleep(calmMs);
                const cutAt = performance.now();
                cuts.forEach((cut, node) => fleet.setCut(node, cut));
                await sleep(cutMs);
                const endedAt = performance.now();
                [...cuts.keys()].forEach(node => fleet.setCut(node, undefined));
                await sleep(afterMs);
                stopped.abort();
                await Promise.all(callers);
                const during = fleet.calls.filter(({ sentAt }) => sentAt >= cutAt + contactMs && sentAt < endedAt);
                const isCutOff = ({ node }: { readonly node: number; }): boolean => node < cuts.length;
                const atCut = during.filter(isCutOff);
                const elsewhere = during.filter(call => !isCutOff(call));
                const failed = atCut.filter(({ isServed }) => !isServed).length;
                const reasons = atCut.filter(({ isServed }) => !isServed).map(({ kind, status, sentAt, endedAt }) =>
                    `${kind} ${status} at ${Math.round(sentAt - cutAt)} after ${Math.round(endedAt - sentAt)}`
                );
                const seen = `${atCut.length - failed} of ${atCut.length} there, ${
                    elsewhere.filter(({ isServed }) => isServed).length
                } of ${elsewhere.length} elsewhere; ${reasons.slice(0, 12).join(", ")}`;
                assert.ok(atCut.length > 0 && elsewhere.length > 0, "no requests");
                assert.ok(shareServed(atCut) >= minRelativeShare * shareServed(elsewhere), seen);
                assert.ok(failed <= allowedFailures + allowedFailureShare * during.length, seen);
                const afterwards = fleet.calls.filter(({ sentAt }) => sentAt >= endedAt + contactMs);
                assert.deepEqual(afterwards.filter(({ isServed }) => !isServed), [], "all are served once the cut has ended");
                const oncePerRequest = fleet.calls.filter(({ kind }) => kind === "non_idempotent");
                assert.deepEqual(oncePerRequest.filter(({ id }) => fleet.runsOf(id) > 1), [], "nothing runs twice");
                assert.deepEqual(oncePerRequest.filter(({ id, status }) => status === 503 && fleet.runsOf(id) > 0), [], "what is refused has not run");
            }
            finally {
                stopped.abort();
                fleet.close();
            }
        });
    }
});
