import { spawn } from "node:child_process";
import { setMaxListeners } from "node:events";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { groupBy } from "../../src/utils/maps";
import { createRandom } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import { portOf } from "../fakes/jsonServer";
import { MemoryPlatformStore } from "../fakes/memoryPlatformStore";
import { servePlatformStore } from "../fakes/platformStoreServer";
import { waitFor } from "../fakes/processes";
import { LoadCaller } from "./loadCaller";
import type { Judgement } from "./loadJudge";
import { judge } from "./loadJudge";
import { LoadNode } from "./loadNode";
import type { LoadOptions } from "./loadOptions";
import type { LoadRecord } from "./loadRecord";
import { startLoadUpstream } from "./loadUpstream";
import { loadRoutes, routeTimeoutMs } from "./requestPlan";

const nodeCount = 2;
const upstreamsPerRoute = 2;
const slots = 100;
const sharedCore = 0;
const probeIntervalMs = 100;
const startTimeoutMs = 20_000;
const pauseBetweenStopsMs = 1_500;
const tableOf = { config: { table: "op", part: "", key: "config" }, servers: { table: "servers", part: "" } };

/** Result of a run. */
export interface LoadResult {
    readonly records: readonly LoadRecord[];
    readonly byJudgement: ReadonlyMap<Judgement, readonly LoadRecord[]>;
    readonly nodes: readonly LoadNode[];
    readonly stopsMs: readonly number[];
    readonly logFolder: string;
}

const configOf = (maxBodyBytes: number): object => ({
    version: 3,
    limits: { maxHeaderBytes: 4_096, maxBodyBytes: Math.max(10_000, 2 * maxBodyBytes), headerTimeoutMs: 3_000, idleTimeoutMs: 9_000 },
    routes: loadRoutes.map(({ name, routeKind }) => ({
        name,
        host: "shop.example",
        prefix: `/${name}/`,
        routeKind,
        timeoutMs: routeTimeoutMs,
        service: name,
        attempts: 1,
    })),
    services: loadRoutes.map(({ name }) => ({ name, healthPath: "/h", maxConns: 2 * slots })),
});

const stopInTurn = async (nodes: readonly LoadNode[], seeds: readonly string[], signal: AbortSignal): Promise<void> => {
    for (let turn = 0; !signal.aborted; turn++) {
        await sleep(pauseBetweenStopsMs, signal);
        const node = nodes[turn % nodes.length]!;
        if (!signal.aborted) {
            await node.stop();
            node.start(seeds);
            await waitFor("a node that is ready again", () => node.isReady, startTimeoutMs);
        }
    }
};

/** Plays callers on kept connections against nodes as processes, which are stopped in turn, and judges what became of each request. */
export const runCallerLoad = async (options: LoadOptions): Promise<LoadResult> => {
    const { seed, seconds, callers, maxBodyBytes, isOneCore, busyProcesses, hasStops } = options;
    const logFolder = mkdtempSync(join(tmpdir(), `load-${seed}-`));
    const store = MemoryPlatformStore.create(createRandom(seed));
    store.lossShare = 0;
    store.put(tableOf.config, Buffer.from(JSON.stringify(configOf(maxBodyBytes))));
    const storeServer = await servePlatformStore(store);
    const records = new Map<string, LoadRecord>();
    const services = loadRoutes.flatMap(({ name }) => Array<string>(upstreamsPerRoute).fill(name));
    const upstreams = await Promise.all(services.map(() => startLoadUpstream(records)));
    upstreams.forEach(({ address }, index) => {
        const row = { zone: "a", state: "ready", born: 1, service: services[index], addr: address, slots };
        store.put({ ...tableOf.servers, key: `u${index}` }, Buffer.from(JSON.stringify(row)));
    });
    const core = isOneCore ? sharedCore : undefined;
    const nodes = await Promise.all([...Array(nodeCount).keys()].map(index => LoadNode.create(`n${index}`, portOf(storeServer), logFolder, core)));
    const seeds = nodes.map(({ peerAddress }) => peerAddress);
    nodes.forEach(node => node.start(seeds));
    const busy = [...Array(busyProcesses)].map(() => spawn("taskset", ["-c", String(sharedCore), process.execPath, "-e", "for (;;);"], { stdio: "ignore" }));
    const probeTimer = setInterval(() => nodes.forEach(node => void node.probe()), probeIntervalMs);
    const abort = new AbortController();
    setMaxListeners(0, abort.signal);
    try {
        await waitFor("nodes that are ready", () => nodes.every(({ isReady }) => isReady), startTimeoutMs);
        const runs = [...Array(callers).keys()].map(index =>
            LoadCaller.create(`s${seed}-c${index}`, nodes, records, options, createRandom(seed * 1_000 + index)).run(abort.signal)
        );
        const stops = hasStops ? stopInTurn(nodes, seeds, abort.signal) : Promise.resolve();
        await sleep(seconds * 1_000);
        abort.abort();
        await Promise.all([...runs, stops]);
    }
    finally {
        clearInterval(probeTimer);
        nodes.forEach(node => node.kill());
        busy.forEach(child => child.kill("SIGKILL"));
        upstreams.forEach(upstream => upstream.close());
        storeServer.closeAllConnections();
        storeServer.close();
    }
    const byJudgement = groupBy([...records.values()], record => judge(record, nodes.find(({ name }) => name === record.node)!));
    const stopsMs = nodes.flatMap(({ stops }) => stops.slice(0, -1).map(({ requestedAt, endedAt = Number.POSITIVE_INFINITY }) => endedAt - requestedAt));
    return { records: [...records.values()], byJudgement, nodes, stopsMs, logFolder };
};
