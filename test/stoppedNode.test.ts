import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { sleep } from "../src/utils/time";
import { callGateway } from "./fakes/gatewayHarness";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";
import type { Script } from "./fakes/scriptedUpstream";
import { chunkOf, lastChunk, startScriptedUpstream, streamHeadOf } from "./fakes/scriptedUpstream";

const streamCount = 12;
const lastEvent = 20;
const eventIntervalMs = 20;
const callerLeavesAfterEvents = 4;
const startTimeoutMs = 8_000;
/** Longer than a node assumes of an upstream that it has not used, so that it uses the new one too. */
const headDelayMs = 100;
/** Time in which the other node learns of the new version, also if the stopped one was the controller. */
const joinMs = 4_000;
const service = "desk";

const versionedStream = (version: string): Script => (socket, { head, id }) => {
    const from = Number(/^last-event-id: (\d+)$/im.exec(head)?.[1] ?? 0) + 1;
    const write = async (): Promise<void> => {
        await sleep(headDelayMs);
        socket.write(streamHeadOf(id));
        for (let event = from; event <= lastEvent && !socket.destroyed; event++) {
            socket.write(chunkOf(`id: ${event}\ndata: ${version}\n\n`));
            await sleep(eventIntervalMs);
        }
        socket.write(lastChunk);
    };
    void write();
};

const versionsIn = (body: string): readonly string[] => [...new Set([...body.matchAll(/^data: (\S+)$/gm)].map(match => match[1]!))];

/** Guards against streams that go on at another software version, at a node that stood still while runners of a new version joined. */
describe("a node process that is stopped while a new software version joins, and goes on as streams are taken up there", () => {
    for (const isStoreAway of [false, true]) {
        it(`never goes on with a stream at another version${isStoreAway ? ", while the store is away" : ""}`, async () => {
            const [oldRunner, newRunner] = [await startScriptedUpstream(versionedStream("v1")), await startScriptedUpstream(versionedStream("v1.1"))];
            const route = {
                name: "r",
                host: "shop.example",
                prefix: "/desk/",
                routeKind: "streaming",
                resumable: true,
                timeoutMs: 5_000,
                service,
                attempts: 2,
            };
            const config = { routes: [route], services: [{ name: service, healthPath: "/h", maxConns: 200 }] };
            const one = await PlatformProcess.start(8, config, { u1: { service, addr: oldRunner.address, slots: 64, version: "v1" } });
            const two = await PlatformProcess.start(8, config, {}, one);
            try {
                for (const { front } of [one, two]) {
                    await waitFor("a stream", async () => (await callGateway(front)).status === 200, startTimeoutMs);
                }
                await sleep(joinMs);
                two.process.kill("SIGSTOP");
                one.putUpstream("u2", { service, addr: newRunner.address, slots: 64, version: "v1.1" });
                await sleep(joinMs);
                const begun = await Promise.all([...Array(streamCount).keys()].map(async index => {
                    const headers = { "attempt-id": `first-${index}`, "deadline-ms": "5000" };
                    const { body } = await callGateway(one.front, { headers, abortAfterEvents: callerLeavesAfterEvents, keepsPart: true });
                    return { id: `first-${index}`, body };
                }));
                assert.ok(begun.some(({ body }) => versionsIn(body).includes("v1.1")), "no stream begins at the new version");
                one.store.isDown = isStoreAway;
                two.process.kill("SIGCONT");
                const joined = await Promise.all(begun.map(async ({ id, body }, index) => {
                    const lastId = [...body.matchAll(/^id: (\d+)$/gm)].at(-1)![1]!;
                    const headers = { "attempt-id": `next-${index}`, "deadline-ms": "5000", "resumes": id, "last-event-id": lastId };
                    const next = await callGateway(two.front, { headers });
                    return { status: next.status, versions: versionsIn(body + (next.status === 200 ? next.body : "")) };
                }));
                assert.deepEqual(joined.filter(({ versions }) => versions.length > 1), [], "streams with events of two versions");
                assert.deepEqual(joined.filter(({ status }) => status !== 200 && status !== 503), [], "neither gone on with nor refused as not run");
            }
            finally {
                two.process.kill("SIGCONT");
                two.close();
                one.close();
                oldRunner.close();
                newRunner.close();
            }
        });
    }
});
