import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../src/utils/random";
import { sleep } from "../src/utils/time";
import { CutFleet } from "./fakes/cutFleet";
import { NewLinks, OpenLinks } from "./fakes/linkCut";
import { waitFor } from "./fakes/processes";

const callersPerNode = 10;
const nodeCount = 3;
const workMs = 400;
const lostMs = 3_000;
const stopMs = 10_000;
/** Subnets of the fleets of other test files end below. */
const firstSubnet = 40;

/** Guards against requests that a planned stop loses on their way through two nodes. */
describe("a planned stop while requests go through peers", { concurrency: 2 }, () => {
    const cases = [
        { name: "of the node that is cut off", stopped: 0 },
        { name: "of a peer", stopped: 1 },
    ];
    for (const [index, { name, stopped }] of cases.entries()) {
        it(`loses none: ${name}`, async () => {
            const fleet = await CutFleet.start(firstSubnet + index, workMs);
            const ended = new AbortController();
            try {
                await waitFor("answers of all nodes", () => fleet.isServing());
                fleet.setCut(0, { open: OpenLinks.Silent, new: NewLinks.Hang });
                await sleep(lostMs);
                const callers = [...Array(nodeCount * callersPerNode).keys()].map(caller =>
                    fleet.runCaller(caller % nodeCount, `c${caller}`, createRandom(index * 1_000 + caller), ended.signal)
                );
                await sleep(1_500);
                const stoppedAt = performance.now();
                const exited = fleet.stop(stopped);
                await sleep(stopMs);
                ended.abort();
                await Promise.all(callers);
                assert.ok(await exited <= 8_000, `exited after ${await exited} ms`);
                const { calls } = fleet;
                const seen = (list: typeof calls): string =>
                    `${list.length} of ${calls.length}: ${
                        list.slice(0, 12).map(({ node, kind, status, sentAt, endedAt }) =>
                            `${kind} at node ${node} ${status}, sent at ${Math.round(sentAt - stoppedAt)}, ended at ${Math.round(endedAt - stoppedAt)}`
                        ).join("; ")
                    }`;
                const before = calls.filter(({ sentAt, endedAt }) => sentAt < stoppedAt && endedAt >= stoppedAt);
                assert.ok(before.some(({ node }) => node === 0), "requests were passed on");
                const lost = before.filter(({ isServed }) => !isServed);
                assert.deepEqual(lost, [], seen(lost));
                const cut = calls.filter(({ node, status, id }) => node !== stopped && status === undefined && fleet.runsOf(id) > 0);
                assert.deepEqual(cut, [], seen(cut));
                const failed = calls.filter(({ node, isServed, status }) => node !== stopped && !isServed && status !== 503);
                assert.deepEqual(failed, [], seen(failed));
                const once = calls.filter(({ kind }) => kind === "non_idempotent");
                assert.deepEqual(once.filter(({ id }) => fleet.runsOf(id) > 1), [], "nothing runs twice");
                assert.deepEqual(once.filter(({ id, status }) => status === 503 && fleet.runsOf(id) > 0), [], "what is refused has not run");
                const refused = calls.filter(({ node, status }) => node !== stopped && status === 503);
                assert.ok(refused.length <= calls.length / 50, seen(refused));
            }
            finally {
                ended.abort();
                fleet.close();
            }
        });
    }
});
