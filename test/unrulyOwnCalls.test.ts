import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { toFailure } from "../src/core/failures";
import { OwnAnswerMemory } from "../src/core/ownAnswerMemory";
import { PeerProber } from "../src/forward/peerProber";
import { defaultTransportLimits } from "../src/node/transportLimitSettings";
import { PeerClients } from "../src/placement/peerClients";
import { RunnerClient } from "../src/platform/runnerClient";
import { askUpstream } from "../src/platform/upstreamQuestion";
import { RunnerOrderKind } from "../src/types/runner";
import type { ServiceSpec } from "../src/types/servingConfig";
import type { UpstreamServer } from "../src/types/upstreamServer";
import { setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import { endlessBodies } from "./fakes/endlessBodies";
import { waitFor } from "./fakes/processes";
import type { Trouble } from "./fakes/troubledServer";
import { startTroubledServer } from "./fakes/troubledServer";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

before(() => setupLogs("silent"));
after(() => setupLogs("info"));

/** Calls made at the same time, each to a server of its own. */
const callCount = 24;
/** Timeouts of the clients are below a second. */
const maxMs = 2_000;
/** Most that may be held: the memory for own answers, and buffers that have not been collected yet. */
const maxGrowthBytes = 100_000_000;

/** Sends the same with status 421 in place of 200. */
const misdirected = (trouble: Trouble): Trouble => socket => {
    const write = socket.write.bind(socket) as (bytes: Buffer | string) => boolean;
    const replace = (bytes: Buffer | string): boolean => write(typeof bytes === "string" ? bytes.replace("HTTP/1.1 200", "HTTP/1.1 421") : bytes);
    socket.write = replace as typeof socket.write;
    trouble(socket);
};

interface OwnCall {
    readonly name: string;
    readonly wrap?: (trouble: Trouble) => Trouble;
    readonly call: (address: string, answers: OwnAnswerMemory) => Promise<unknown>;
}

const clientOf = (answers: OwnAnswerMemory): RunnerClient => RunnerClient.create(defaultTransportLimits, () => undefined, answers);
const order = { kind: RunnerOrderKind.Load, model: "m", adapter: undefined, expectedAcceptedOrders: 0, holder: "n1", epoch: 1 };

const calls: readonly OwnCall[] = [
    { name: "orders", call: (address, answers) => clientOf(answers).order({ id: "u1", address, bornAt: 1 }, order) },
    { name: "reports", call: (address, answers) => clientOf(answers).fetchReport({ id: "u1", address, bornAt: 1 }) },
    { name: "reports of another instance", wrap: misdirected, call: (address, answers) => clientOf(answers).fetchReport({ id: "u1", address, bornAt: 1 }) },
    {
        name: "calls of peers",
        call: (address, answers) => PeerClients.create(16_777_216, answers).get(address).announce.mutate({ peerAddress: address, epoch: 1 }),
    },
    { name: "probes of peers", call: (address, answers) => PeerProber.create(answers).isAlive(address) },
    { name: "questions about a peer's contact", call: (address, answers) => PeerProber.create(answers).reachesUpstreams(address) },
    {
        name: "questions to upstreams",
        call: address =>
            askUpstream({ id: "u1", address } as UpstreamServer, { healthPath: "/h" } as ServiceSpec, AbortSignal.timeout(maxMs / 2), () => undefined),
    },
];

/** Guards against memory and time that answers without end take where nobody reads them, or all at once. */
describe("a node's own calls whose answers do not end", () => {
    for (const { name, wrap = (trouble: Trouble) => trouble, call } of calls) {
        for (const [form, trouble] of Object.entries(endlessBodies)) {
            it(`end in time, close their connections and hold little: ${name}, ${form}`, async () => {
                const servers = await Promise.all([...Array(callCount).keys()].map(() => startTroubledServer(wrap(trouble))));
                const answers = OwnAnswerMemory.create(() => defaultTransportLimits.maxOwnAnswerBytes);
                const usedBytes = (): number => process.memoryUsage().arrayBuffers + process.memoryUsage().heapUsed;
                // The memory of collected buffers is freed later.
                collectGarbage();
                await sleep(20);
                collectGarbage();
                const bytesBefore = usedBytes();
                let peakBytes = 0;
                const watch = setInterval(() => peakBytes = Math.max(peakBytes, usedBytes()), 10);
                try {
                    const startedAt = performance.now();
                    await Promise.all(servers.map(({ address }) => call(address, answers).catch(toFailure)));
                    const tookMs = Math.round(performance.now() - startedAt);
                    assert.ok(tookMs <= maxMs, `${tookMs} ms`);
                    assert.equal(answers.used, 0);
                    assert.ok(servers.every(({ requestCount }) => requestCount > 0), "all were called");
                    await waitFor("the end of all connections", () => Promise.resolve(servers.every(({ openCount }) => openCount === 0)), maxMs);
                    const growthBytes = peakBytes - bytesBefore;
                    assert.ok(growthBytes < maxGrowthBytes, `${growthBytes} bytes`);
                    console.log(`${name}, ${form}: ${tookMs} ms, ${Math.round(growthBytes / 1e6)} MB`);
                }
                finally {
                    clearInterval(watch);
                    servers.forEach(server => server.close());
                }
            });
        }
    }
});
