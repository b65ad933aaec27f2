import { build } from "hdr-histogram-js";
import { request } from "undici";
import { callerKey, StandaloneFleet } from "../test/fakes/standaloneFleet";
import { formatNumber, printTable } from "./measure";

const tokens = 200;
const callers = 32;
/** Callers of the run that shows added latency without saturation. */
const fewCallers = 2;
const seconds = 8;
const messages = [{ role: "user", content: "Which fuse feeds the brake lamps?" }];
const usPerSecond = 1e6;

interface LoadResult {
    readonly requests: number;
    readonly firstMs: { readonly p50: number; readonly p99: number; };
}

/** Callers that ask one question after the other for a fixed time. */
const runLoad = async (url: string, model: string, headers: Readonly<Record<string, string>>, count = callers): Promise<LoadResult> => {
    const first = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60 * usPerSecond, numberOfSignificantValueDigits: 3 });
    const until = performance.now() + seconds * 1_000;
    let requests = 0;
    const call = async (caller: number): Promise<void> => {
        for (let turn = 0; performance.now() < until; turn++) {
            const startedAt = performance.now();
            const res = await request(`${url}/v1/chat/completions`, {
                method: "POST",
                headers: { ...headers, "content-type": "application/json", "x-request-id": `${caller}.${turn}` },
                body: JSON.stringify({ model, messages, stream: true, max_tokens: tokens }),
            });
            let isFirst = true;
            for await (const chunk of res.body) {
                if (isFirst && (chunk as Buffer).length > 0) {
                    first.recordValue(Math.round((performance.now() - startedAt) * 1_000));
                    isFirst = false;
                }
            }
            requests++;
        }
    };
    await Promise.all([...Array(count).keys()].map(call));
    return { requests, firstMs: { p50: first.getValueAtPercentile(50) / 1_000, p99: first.getValueAtPercentile(99) / 1_000 } };
};

const metricOf = (text: string, name: string): number => Number(new RegExp(`^${name} (\\S+)`, "m").exec(text)?.[1]);
const readMetrics = async (url: string) => {
    const startedAt = performance.now();
    const text = await (await fetch(`${url}/metrics`)).text();
    return {
        ms: performance.now() - startedAt,
        bytes: text.length,
        cpu: metricOf(text, "process_cpu_seconds_total"),
        residentMiB: metricOf(text, "process_resident_memory_bytes") / 1_048_576,
        heapMiB: metricOf(text, "nodejs_heap_size_used_bytes") / 1_048_576,
    };
};

/** One node before fast stand-in engines, against the same load sent straight to an engine. */
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
        const idle = await readMetrics(node);
        await new Promise(resolve => setTimeout(resolve, 10_000));
        const idleEnd = await readMetrics(node);
        const status = JSON.parse(
            await (await request(`${node}/admin/status`, { headers: { authorization: `Bearer ${fleet.operatorEnv.JACKDAWTRAIL_OPERATOR_TOKEN}` } })).body
                .text(),
        ) as { runners: { url: string; report?: { residencies: { artifact: string; }[]; }; }[]; };
        const holder = status.runners.find(runner => runner.report?.residencies.some(({ artifact }) => artifact === "model:wiring-7b@1"))!;
        const before = await readMetrics(node);
        const through = await runLoad(node, "wiring-7b", { authorization: `Bearer ${callerKey}` });
        const after = await readMetrics(node);
        const straight = await runLoad(holder.url, "model:wiring-7b@1", {});
        const fewThrough = await runLoad(node, "wiring-7b", { authorization: `Bearer ${callerKey}` }, fewCallers);
        const fewStraight = await runLoad(holder.url, "model:wiring-7b@1", {}, fewCallers);
        const row = (
            name: string,
            { requests, firstMs }: LoadResult,
        ) => [name, formatNumber(requests / seconds), formatNumber(requests * tokens / seconds), formatNumber(firstMs.p50), formatNumber(firstMs.p99)];
        printTable(`Data path: ${callers} callers, ${tokens} tokens an answer, ${seconds} s; stand-ins and load on the same 8 cores`, [
            "path",
            "requests/s",
            "tokens/s",
            "first piece p50 ms",
            "first piece p99 ms",
        ], [
            row("through one node", through),
            row("straight to one engine", straight),
            row(`through one node, ${fewCallers} callers`, fewThrough),
            row(`straight, ${fewCallers} callers`, fewStraight),
        ]);
        const cpu = after.cpu - before.cpu;
        console.log(
            `node: ${formatNumber(cpu / (through.requests * tokens) * 1_000)} CPU s per 1,000 tokens, ${
                formatNumber(cpu / seconds * 100)
            } % of a core under load`,
        );
        console.log(
            `node idle, 10 s: ${formatNumber((idleEnd.cpu - idle.cpu) / 10 * 100)} % of a core; resident ${formatNumber(idleEnd.residentMiB)} MiB idle, ${
                formatNumber(after.residentMiB)
            } MiB after the load; heap ${formatNumber(idleEnd.heapMiB)} MiB idle`,
        );
        console.log(
            `metrics: ${after.bytes} bytes, ${formatNumber(after.ms)} ms a scrape; violations seen by the witnesses: ${(await fleet.violations()).length}`,
        );
    }
    finally {
        await fleet.processes.stopAll();
    }
};
