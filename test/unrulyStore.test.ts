import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { endlessBodies } from "./fakes/endlessBodies";
import { callGateway } from "./fakes/gatewayHarness";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";
import { sendInBytes } from "./fakes/smallPieces";

/** Memory that a node of the platform may use, by its settings file. */
const memoryMb = 350;
/** Time in which a sound request has its answer, whatever the store sends. */
const maxSoundMs = 1_000;
const troubleMs = 5_000;
const startTimeoutMs = 8_000;
/** Other upstreams in the directory; a page of the store has as many rows. */
const otherUpstreams = 500;

const config = {
    routes: [{ name: "good", host: "shop.example", prefix: "/good/", routeKind: "non_idempotent", timeoutMs: 3_000, service: "good", attempts: 1 }],
    services: [{ name: "good", healthPath: "/h", maxConns: 100 }, { name: "other", healthPath: "/h", maxConns: 100 }],
};
const others = Object.fromEntries(
    [...Array(otherUpstreams).keys()].map(
        index => [`o${index}`, { service: "other", addr: `127.1.${index % 250}.1:9`, slots: 8, models: [{ name: `model-${index}`, version: 1 }] }],
    ),
);

interface StoreCase {
    readonly name: string;
    readonly isFromStart: boolean;
    readonly answer: NonNullable<PlatformProcess["store"]["answerWith"]>;
}

const cases: readonly StoreCase[] = [
    { name: "sound answers in chunks of 1 byte, from its start on", isFromStart: true, answer: sendInBytes },
    ...["one chunk", "a huge told length", "no length", "chunks of 1 byte"].map(form => ({
        name: `answers without end: ${form}`,
        isFromStart: false,
        answer: endlessBodies[form]!,
    })),
];

/** Guards against memory and time that answers of the store take by their pieces, or without end on each connection to it. */
describe("a node process whose store is in trouble", () => {
    for (const { name, isFromStart, answer } of cases) {
        it(`lives, keeps within its memory and serves: ${name}`, async () => {
            const sound = await startScriptedUpstream((socket, { id }) => void socket.write(answerOf(id, "done")));
            const node = await PlatformProcess.start(8, config, { ...others, good: { service: "good", addr: sound.address, slots: 64 } });
            let troubles = 0;
            const begin = (): void => {
                node.store.answerWith = (...args) => {
                    troubles++;
                    answer(...args);
                };
            };
            const call = (): ReturnType<typeof callGateway> => callGateway(node.front, { path: "/good/x" });
            try {
                if (isFromStart) {
                    begin();
                }
                await waitFor("an answer", async () => (await call()).status === 200, startTimeoutMs);
                await waitFor(
                    "the directory",
                    () => node.gauge("jackdawtrail_upstreams_known").then(known => known === otherUpstreams + 1, () => false),
                    startTimeoutMs,
                );
                begin();
                const endAt = performance.now() + troubleMs;
                const soundTimes: number[] = [];
                const failed: unknown[] = [];
                while (performance.now() < endAt) {
                    const { status, afterMs } = await call();
                    soundTimes.push(Math.round(afterMs));
                    if (status !== 200) {
                        failed.push(status);
                    }
                    await new Promise(resolve => setTimeout(resolve, 50));
                }
                assert.equal(node.process.exitCode ?? node.process.signalCode ?? "runs", "runs");
                const peakMb = Math.round(node.peakMemoryMb);
                console.log(`${peakMb} MB, ${troubles} answers of the store, ${soundTimes.length} sound requests, ${Math.max(...soundTimes)} ms at most`);
                assert.ok(troubles > 0);
                assert.ok(peakMb <= memoryMb, `${peakMb} MB`);
                assert.deepEqual(failed, []);
                assert.ok(Math.max(...soundTimes) <= maxSoundMs, `a sound request took ${Math.max(...soundTimes)} ms`);
            }
            finally {
                node.close();
                sound.close();
            }
        });
    }
});
