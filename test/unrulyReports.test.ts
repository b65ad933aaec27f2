import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { endlessBodies } from "./fakes/endlessBodies";
import { callGateway } from "./fakes/gatewayHarness";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";
import { startTroubledServer } from "./fakes/troubledServer";

/** Memory that a node of the platform may use, by its settings file. */
const memoryMb = 350;
/** Time in which a sound request has its answer, whatever runners report. */
const maxSoundMs = 1_000;
const troubleMs = 5_000;
const startTimeoutMs = 8_000;

interface ReportCase {
    readonly runners: number;
    /** Forms of the reports, taken in turn. */
    readonly forms: readonly string[];
}

const cases: readonly ReportCase[] = [
    { runners: 18, forms: ["one chunk"] },
    { runners: 18, forms: ["a huge told length"] },
    { runners: 18, forms: ["no length"] },
    { runners: 18, forms: ["chunks of 1 byte"] },
    { runners: 36, forms: Object.keys(endlessBodies) },
];

const config = {
    routes: [
        { name: "bad", host: "shop.example", prefix: "/bad/", routeKind: "streaming", timeoutMs: 3_000, service: "bad" },
        { name: "good", host: "shop.example", prefix: "/good/", routeKind: "non_idempotent", timeoutMs: 3_000, service: "good", attempts: 1 },
    ],
    services: [
        {
            name: "bad",
            healthPath: "/h",
            maxConns: 100,
            engine: { slots: 8, kvCapacity: 100_000, models: [{ name: "m", weightsMb: 10, loadS: 5 }] },
        },
        { name: "good", healthPath: "/h", maxConns: 100 },
    ],
};

/** Guards against memory that reports without end take together, each within its own limit. */
describe("a node process whose runners send reports without end", () => {
    for (const { runners, forms } of cases) {
        it(`lives, keeps within its memory and serves others: ${runners} runners, ${forms.length > 1 ? "all forms" : forms[0]}`, async () => {
            const troubled = await Promise.all([...Array(runners).keys()].map(index => startTroubledServer(endlessBodies[forms[index % forms.length]!]!)));
            const sound = await startScriptedUpstream((socket, { id }) => void socket.write(answerOf(id, "done")));
            const rows = troubled.map(({ address }, index): [string, object] => [
                `u${index}`,
                { service: "bad", addr: address, slots: 8, models: [{ name: "m", version: 1 }] },
            ]);
            const node = await PlatformProcess.start(8, config, { ...Object.fromEntries(rows), good: { service: "good", addr: sound.address, slots: 64 } });
            const call = (): ReturnType<typeof callGateway> => callGateway(node.front, { path: "/good/x" });
            try {
                await waitFor("an answer", async () => (await call()).status === 200, startTimeoutMs);
                await waitFor("a report request", () => Promise.resolve(troubled.every(({ requestCount }) => requestCount > 0)), startTimeoutMs);
                const endAt = performance.now() + troubleMs;
                const soundTimes: number[] = [];
                const failed: unknown[] = [];
                while (performance.now() < endAt) {
                    const answer = await call();
                    soundTimes.push(Math.round(answer.afterMs));
                    if (answer.status !== 200) {
                        failed.push(answer.status);
                    }
                    await new Promise(resolve => setTimeout(resolve, 50));
                }
                assert.equal(node.process.exitCode ?? node.process.signalCode ?? "runs", "runs");
                const peakMb = Math.round(node.peakMemoryMb);
                const asked = troubled.reduce((sum, { requestCount }) => sum + requestCount, 0);
                console.log(`${peakMb} MB, ${asked} reports asked, ${soundTimes.length} sound requests, ${Math.max(...soundTimes)} ms at most`);
                assert.ok(peakMb <= memoryMb, `${peakMb} MB`);
                assert.deepEqual(failed, []);
                assert.ok(Math.max(...soundTimes) <= maxSoundMs, `a sound request took ${Math.max(...soundTimes)} ms`);
            }
            finally {
                node.close();
                troubled.forEach(server => server.close());
                sound.close();
            }
        });
    }
});
