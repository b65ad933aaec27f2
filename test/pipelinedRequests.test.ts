import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import { startGateway } from "./fakes/gatewayHarness";
import { KeptConnection } from "./fakes/keptConnection";
import { waitFor } from "./fakes/processes";
import { answerOf, chunkOf, lastChunk, startScriptedUpstream, streamHeadOf } from "./fakes/scriptedUpstream";

const workMs = 150;
const waitTimeoutMs = 5_000;

/** Guards against requests that are read behind another one on their connection, sent on and run, and then lost with the connection. */
describe("requests that are sent on a connection before the one ahead has been answered", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    interface Case {
        readonly name: string;
        readonly isStream?: boolean;
        /** When the node is requested to stop: before the first request, or while it runs. */
        readonly stops?: "before" | "during";
        /** IDs of the requests that are sent together, and of those that are sent once the head of the first answer has arrived. */
        readonly together: readonly string[];
        readonly afterHead?: readonly string[];
        /** IDs of the requests that upstreams get, all of which are answered. */
        readonly forwarded: readonly string[];
        readonly isClosed: boolean;
    }
    const cases: readonly Case[] = [
        { name: "are answered in their order", together: ["a", "b", "c"], forwarded: ["a", "b", "c"], isClosed: false },
        {
            name: "are all answered by a stopping node, which closes the connection then",
            stops: "before",
            together: ["a", "b", "c"],
            forwarded: ["a", "b", "c"],
            isClosed: true,
        },
        {
            name: "are all answered by a node that is requested to stop meanwhile",
            stops: "during",
            together: ["a", "b"],
            forwarded: ["a", "b"],
            isClosed: true,
        },
        {
            name: "are answered behind a stream",
            isStream: true,
            together: ["a"],
            afterHead: ["b"],
            forwarded: ["a", "b"],
            isClosed: false,
        },
        {
            name: "are not sent on once the close of the connection was announced",
            isStream: true,
            stops: "before",
            together: ["a"],
            afterHead: ["b"],
            forwarded: ["a"],
            isClosed: true,
        },
    ];
    for (const { name, isStream = false, stops, together, afterHead = [], forwarded, isClosed } of cases) {
        it(name, async () => {
            let running = 0;
            let maxRunning = 0;
            const upstream = await startScriptedUpstream((socket, { id }) => {
                maxRunning = Math.max(maxRunning, ++running);
                if (isStream) {
                    socket.write(streamHeadOf(id) + chunkOf(`id: 1\ndata: ${id}\n\n`));
                }
                setTimeout(() => {
                    running--;
                    socket.write(isStream ? chunkOf(`id: 2\ndata: ${id}\n\nevent: end\ndata: x\n\n`) + lastChunk : answerOf(id, `body-${id}`));
                }, workMs);
            });
            const { gateway, address, close } = await startGateway([upstream.address], isStream ? { kind: RouteKind.Streaming } : {});
            const stop = (): void => {
                gateway.isStopping = true;
            };
            const caller = await KeptConnection.open(address);
            try {
                if (stops === "before") {
                    stop();
                }
                caller.send(...together);
                if (stops === "during") {
                    await sleep(workMs / 2);
                    stop();
                }
                if (afterHead.length > 0) {
                    await caller.waitForAnswers(1);
                    caller.send(...afterHead);
                }
                await caller.waitForAnswers(forwarded.length);
                const last = isStream ? lastChunk : `body-${forwarded.at(-1)}`;
                await waitFor("the last answer", () => caller.bytes.endsWith(last), waitTimeoutMs, 5);
                await sleep(workMs);
                assert.deepEqual(upstream.received.map(({ id }) => id), forwarded, "requests that upstreams got");
                assert.deepEqual(caller.statuses, forwarded.map(() => 200));
                assert.deepEqual(forwarded.filter(id => !caller.bytes.includes(isStream ? `data: ${id}` : `body-${id}`)), [], "not answered");
                assert.equal(maxRunning, 1, "runs at a time");
                assert.equal(caller.isClosed, isClosed);
            }
            finally {
                caller.close();
                upstream.close();
                close();
            }
        });
    }

    for (const leave of ["end", "close"] as const) {
        it(`are not sent on once their caller has left (${leave})`, async () => {
            const upstream = await startScriptedUpstream((socket, { id }) => void setTimeout(() => socket.write(answerOf(id, "done")), 4 * workMs));
            const { address, close } = await startGateway([upstream.address]);
            const caller = await KeptConnection.open(address);
            try {
                caller.send("a", "b", "c");
                await sleep(workMs);
                caller[leave]();
                await waitFor("the end of the first request", () => upstream.closedConnections === 1, waitTimeoutMs, 5);
                await sleep(4 * workMs);
                assert.deepEqual(upstream.received.map(({ id }) => id), ["a"]);
            }
            finally {
                caller.close();
                upstream.close();
                close();
            }
        });
    }

    it("whose deadline passes while they wait are refused as not run", async () => {
        const upstream = await startScriptedUpstream((socket, { id }) => void setTimeout(() => socket.write(answerOf(id, "done")), 600));
        const { address, close } = await startGateway([upstream.address], { timeoutMs: 400 });
        const caller = await KeptConnection.open(address);
        try {
            caller.send("a", "b");
            await caller.waitForAnswers(2);
            assert.deepEqual(caller.statuses, [504, 503]);
            assert.deepEqual(upstream.received.map(({ id }) => id), ["a"]);
        }
        finally {
            caller.close();
            upstream.close();
            close();
        }
    });
});
