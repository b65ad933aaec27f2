import { build } from "hdr-histogram-js";
import { request } from "undici";
import { callerKey, StandaloneFleet } from "../test/fakes/standaloneFleet";
import { formatNumber, printTable } from "./measure";

const tokens = 200;
const callers = 32;
/** Callers of the run that measures the added latency without saturating the node. */
const lowLoadCallers = 2;
const durationS = 8;
const messages = [{ role: "user", content: "Which fuse feeds the brake lamps?" }];
const usPerSecond = 1e6;

interface LoadResult {
    readonly requests: number;
    readonly firstChunkMs: { readonly p50: number; readonly p99: number; };
}

/** Runs callers that each send one request after the other for a fixed time. */
const runLoad = async (url: string, model: string, headers: Readonly<Record<string, string>>, callerCount = callers): Promise<LoadResult> => {
    const firstChunkUs = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60 * usPerSecond, numberOfSignificantValueDigits: 3 });
    const endsAt = performance.now() + durationS * 1_000;
    let requests = 0;
    const runCaller = async (caller: number): Promise<void> => {
        for (let requestIndex = 0; performance.now() < endsAt; requestIndex++) {
            const startedAt = performance.now();
            const res = await request(`${url}/v1/chat/completions`, {
                method: "POST",
                headers: { ...headers, "content-type": "application/json", "x-request-id": `${caller}.${requestIndex}` },
                body: JSON.stringify({ model, messages, stream: true, max_tokens: tokens }),
            });
            let isFirstChunk = true;
            for await (const chunk of res.body) {
                if (isFirstChunk && (chunk as Buffer).length > 0) {
                    firstChunkUs.recordValue(Math.round((performance.now() - startedAt) * 1_000));
                    isFirstChunk = false;
                }
            }
            requests++;
        }
    };
    await Promise.all([...Array(callerCount).keys()].map(runCaller));
    return { requests, firstChunkMs: { p50: firstChunkUs.getValueAtPercentile(50) / 1_000, p99: firstChunkUs.getValueAtPercentile(99) / 1_000 } };
};

const parseMetric = (text: string, name: string): number => Number(new RegExp(`^${name} (\\S+)`, "m").exec(text)?.[1]);
const readMetrics = async (url: string) => {
    const startedAt = performance.now();
    const text = await (await fetch(`${url}/metrics`)).text();
    return {
        ms: performance.now() - startedAt,
        bytes: text.length,
        cpuS: parseMetric(text, "process_cpu_seconds_total"),
        residentMiB: parseMetric(text, "process_resident_memory_bytes") / 1_048_576,
        heapMiB: parseMetric(text, "nodejs_heap_size_used_bytes") / 1_048_576,
    };
};

/** Compares one node in front of fast simulated engines with the same load sent directly to one engine. */
export const benchDataPath = async (): Promise<void> => {
    const fleet = await StandaloneFleet.create({
        nodes: [{ id: "node-a", zone: "za" }],
        runners: ["a", "b", "c", "d"].map(id => ({ id: `runner-${id}`, zone: "za" })),
        engine: { firstTokenMs: 0, tokenMs: 0, slots: 64 },
        env: {
            JACKDAWTRAIL_LOG_LEVEL: "error",
            JACKDAWTRAIL_PEER_EXCHANGE_MS: "2000",
            JACKDAWTRAIL_STEWARD_MS: "1000",
            JACKDAWTRAIL_REPORT_POLL_MS: "1000",
            JACKDAWTRAIL_CONFIG_POLL_MS: "2000",
            JACKDAWTRAIL_VM_LIST_POLL_MS: "1000",
            JACKDAWTRAIL_ZONE_EXCHANGE_MS: "10000",
        },
    });
    try {
        await fleet.writeSampleRecords();
        const node = [...fleet.nodeUrls.values()][0]!;
        const idleStart = await readMetrics(node);
        await new Promise(resolve => setTimeout(resolve, 10_000));
        const idleEnd = await readMetrics(node);
        const status = JSON.parse(
            await (await request(`${node}/admin/status`, { headers: { authorization: `Bearer ${fleet.operatorEnv.JACKDAWTRAIL_OPERATOR_TOKEN}` } })).body
                .text(),
        ) as { runners: { url: string; report?: { residencies: { artifact: string; }[]; }; }[]; };
        const runnerWithModel = status.runners.find(runner => runner.report?.residencies.some(({ artifact }) => artifact === "model:wiring-7b@1"))!;
        const before = await readMetrics(node);
        const viaNode = await runLoad(node, "wiring-7b", { authorization: `Bearer ${callerKey}` });
        const after = await readMetrics(node);
        const direct = await runLoad(runnerWithModel.url, "model:wiring-7b@1", {});
        const lowLoadViaNode = await runLoad(node, "wiring-7b", { authorization: `Bearer ${callerKey}` }, lowLoadCallers);
        const lowLoadDirect = await runLoad(runnerWithModel.url, "model:wiring-7b@1", {}, lowLoadCallers);
        const row = (
            name: string,
            { requests, firstChunkMs }: LoadResult,
        ) => [
            name,
            formatNumber(requests / durationS),
            formatNumber(requests * tokens / durationS),
            formatNumber(firstChunkMs.p50),
            formatNumber(firstChunkMs.p99),
        ];
        printTable(`Data path: ${callers} callers, ${tokens} tokens an answer, ${durationS} s; simulated engines and load generator on the same 8 cores`, [
            "path",
            "requests/s",
            "tokens/s",
            "first chunk p50 ms",
            "first chunk p99 ms",
        ], [
            row("through one node", viaNode),
            row("directly to one engine", direct),
            row(`through one node, ${lowLoadCallers} callers`, lowLoadViaNode),
            row(`directly, ${lowLoadCallers} callers`, lowLoadDirect),
        ]);
        const cpuS = after.cpuS - before.cpuS;
        console.log(
            `node: ${formatNumber(cpuS / (viaNode.requests * tokens) * 1_000)} CPU s per 1,000 tokens, ${
                formatNumber(cpuS / durationS * 100)
            } % of a core under load`,
        );
        console.log(
            `node idle, 10 s: ${formatNumber((idleEnd.cpuS - idleStart.cpuS) / 10 * 100)} % of a core; resident ${
                formatNumber(idleEnd.residentMiB)
            } MiB idle, ${formatNumber(after.residentMiB)} MiB after the load; heap ${formatNumber(idleEnd.heapMiB)} MiB idle`,
        );
        console.log(
            `metrics: ${after.bytes} bytes, ${formatNumber(after.ms)} ms a scrape; violations recorded by the stand-ins: ${(await fleet.violations()).length}`,
        );
    }
    finally {
        await fleet.processes.stopAll();
    }
};
