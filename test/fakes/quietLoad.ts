import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { Random } from "../../src/utils/random";
import { createRandom } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import { callGateway, startGateway } from "./gatewayHarness";

const upstreamCount = 3;
const nodeCount = 2;
const slots = 4;
const serviceMs = 40;
const requestsPerS = 60;
const deadlineMs = 2_500;
const objectiveMs = 400;
const maxCalls = 4;
/** Callers follow a Retry-After up to this share of the time that they have left. */
const maxRetryShare = 1 / 3;
const quietSlackMs = 500;

/** A time for which an upstream, or all of them, turns requests away. */
export interface QuietPhase {
    readonly upstream: number | "all";
    readonly fromMs: number;
    readonly toMs: number;
}

/** What callers and upstreams saw of a load. */
export interface LoadResult {
    readonly requests: number;
    /** Shares of the requests that were answered, and answered within the objective. */
    readonly answeredShare: number;
    readonly inTimeShare: number;
    readonly meanMs: number;
    /** Refusals that callers got, and those among them while an upstream took requests. */
    readonly refusals: number;
    readonly avoidableRefusals: number;
    /** Requests that reached an upstream in its quiet time, later than the slack after it had asked for quiet. */
    readonly quietArrivals: number;
    /** Most requests that an upstream ran at once. */
    readonly mostAtOnce: number;
}

/** Plays a busy service whose upstreams ask for quiet, behind two nodes. */
export const playQuietLoad = async (phases: readonly QuietPhase[], durationMs: number, seed: number): Promise<LoadResult> => {
    const random: Random = createRandom(seed);
    const startedAt = performance.now();
    const phaseOf = (upstream: number): QuietPhase | undefined => {
        const now = performance.now() - startedAt;
        return phases.find(phase => (phase.upstream === upstream || phase.upstream === "all") && now >= phase.fromMs && now < phase.toMs);
    };
    let quietArrivals = 0;
    let mostAtOnce = 0;
    /** When an upstream asked for quiet first in a phase; all nodes get some requests in the slack after it. */
    const askedAt = new Map<string, number>();
    const servers = await Promise.all([...Array(upstreamCount).keys()].map(async upstream => {
        let running = 0;
        const server = createServer((req, res) => {
            req.resume();
            const phase = phaseOf(upstream);
            const headers = { "attempt-id": String(req.headers["attempt-id"]) };
            if (phase) {
                const now = performance.now();
                const key = `${upstream} ${phase.fromMs} ${String(req.headers["x-node"])}`;
                askedAt.set(key, askedAt.get(key) ?? now);
                quietArrivals += Number(now > askedAt.get(key)! + quietSlackMs);
                const leftS = (startedAt + phase.toMs - now) / 1_000;
                res.writeHead(503, { ...headers, "not-executed": "1", "retry-after": leftS.toFixed(3) }).end();
                return;
            }
            mostAtOnce = Math.max(mostAtOnce, ++running);
            setTimeout(() => {
                running--;
                res.writeHead(200, { ...headers, "server-seal": "s" }).end("done");
            }, serviceMs * Math.max(1, running / slots));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
        return server;
    }));
    const addresses = servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`);
    const nodes = await Promise.all([...Array(nodeCount)].map(() => startGateway(addresses, { timeoutMs: deadlineMs, latencyObjectiveMs: objectiveMs })));
    const outcomes: { readonly isAnswered: boolean; readonly ms: number; }[] = [];
    let refusals = 0;
    let avoidableRefusals = 0;
    const call = async (index: number): Promise<void> => {
        const sentAt = performance.now();
        for (let attempt = 0; attempt < maxCalls; attempt++) {
            const node = (index + attempt) % nodeCount;
            const leftMs = deadlineMs - (performance.now() - sentAt);
            const headers = { "attempt-id": `r${index}-${attempt}`, "deadline-ms": String(Math.round(leftMs)), "x-node": String(node) };
            const { status, headers: answered } = await callGateway(nodes[node]!.address, { headers });
            if (status === 200) {
                outcomes.push({ isAnswered: true, ms: performance.now() - sentAt });
                return;
            }
            refusals++;
            avoidableRefusals += Number([...servers.keys()].some(upstream => !phaseOf(upstream)));
            const waitMs = Math.min(1_000 * Number(answered["retry-after"] ?? 0), maxRetryShare * (deadlineMs - (performance.now() - sentAt)));
            await sleep(Math.max(0, waitMs));
        }
        outcomes.push({ isAnswered: false, ms: performance.now() - sentAt });
    };
    const calls: Promise<void>[] = [];
    while (performance.now() - startedAt < durationMs) {
        calls.push(call(calls.length));
        await sleep(1_000 / requestsPerS * 2 * random());
    }
    await Promise.all(calls);
    nodes.forEach(node => node.close());
    servers.forEach(server => {
        server.closeAllConnections();
        server.close();
    });
    const answered = outcomes.filter(({ isAnswered }) => isAnswered);
    return {
        requests: outcomes.length,
        answeredShare: answered.length / outcomes.length,
        inTimeShare: answered.filter(({ ms }) => ms <= objectiveMs).length / outcomes.length,
        meanMs: answered.reduce((sum, { ms }) => sum + ms, 0) / answered.length,
        refusals,
        avoidableRefusals,
        quietArrivals,
        mostAtOnce,
    };
};
