import { createHash } from "node:crypto";
import type { Vm } from "../../src/types/vm";
import { VmKind, VmState } from "../../src/types/vm";
import { reservePort } from "./ports";
import { Processes, waitFor } from "./processes";

/** Nodes and runners to start as processes on loopback, with their availability zones. */
export interface StandaloneFleetSetup {
    readonly nodes: readonly { readonly id: string; readonly zone: string; }[];
    readonly runners: readonly { readonly id: string; readonly zone: string; }[];
    readonly engine?: object;
    readonly env?: Readonly<Record<string, string>>;
}

export const operatorToken = "operator-token-of-the-stand-ins";
export const callerKey = "caller-key-of-the-stand-ins";

const defaultEngineSetup = { memoryMiB: 24_000, slots: 8, checksFence: true, modelLoadMs: 100, adapterLoadMs: 8, firstTokenMs: 20, tokenMs: 5 };
/** Short intervals, so that a demonstration takes seconds. */
const shortIntervalsEnv = {
    JACKDAWTRAIL_CONFIG_POLL_MS: "200",
    JACKDAWTRAIL_VM_LIST_POLL_MS: "200",
    JACKDAWTRAIL_REPORT_POLL_MS: "150",
    JACKDAWTRAIL_PEER_EXCHANGE_MS: "150",
    JACKDAWTRAIL_ZONE_EXCHANGE_MS: "300",
    JACKDAWTRAIL_STEWARD_MS: "150",
    JACKDAWTRAIL_DRAIN_DELAY_MS: "1000",
    JACKDAWTRAIL_ORDER_LATENESS_MS: "2000",
    JACKDAWTRAIL_STOP_NOTICE_MS: "300",
};

/** Records that the demonstration and the process tests apply, in both schema versions. */
export const sampleRecords = [
    { schemaVersion: 2, kind: "deployment", name: "leitor", checksFence: true },
    { schemaVersion: 2, kind: "target", name: "interactive", firstTokenMs: 550, betweenTokensMs: 42 },
    { schemaVersion: 2, kind: "model", name: "wiring-7b", version: "1", memoryMiB: 9_000, deployment: "leitor", minCopies: 2, target: "interactive" },
    {
        schemaVersion: 1,
        kind: "model",
        name: "contract-7b",
        version: "1",
        memoryBytes: 9_000 * 1_048_576,
        deployment: "leitor",
        note: "an unknown field that is kept",
    },
    { schemaVersion: 2, kind: "adapter", name: "bus-panels", version: "1", memoryMiB: 200, model: "wiring-7b" },
    {
        schemaVersion: 2,
        kind: "service",
        name: "licences",
        calls: [{ method: "GET", path: "/stock", repeatable: true }, { method: "POST", path: "/reservations", repeatable: false }],
    },
    { schemaVersion: 1, kind: "caller", name: "workshop-natal", priority: 8, keyHashes: [createHash("sha256").update(callerKey).digest("hex")] },
];

/** Standalone nodes as processes, with stand-ins for their infrastructure, engines and a service. */
export class StandaloneFleet {
    readonly processes = Processes.create();
    readonly nodeUrls = new Map<string, string>();
    readonly engineUrls = new Map<string, string>();
    infrastructureUrl = "";
    serviceUrl = "";
    private readonly vms: Vm[] = [];

    private constructor(private readonly setup: StandaloneFleetSetup) {}

    /** Starts the stand-ins and the nodes, without any records. */
    static async create(setup: StandaloneFleetSetup): Promise<StandaloneFleet> {
        const fleet = new StandaloneFleet(setup);
        await fleet.start();
        return fleet;
    }

    /** Environment for the operators' commands. */
    get operatorEnv(): Readonly<Record<string, string>> {
        return { JACKDAWTRAIL_URL: [...this.nodeUrls.values()][0]!, JACKDAWTRAIL_OPERATOR_TOKEN: operatorToken };
    }

    /** Applies the sample records through the command line and waits until their copies are resident. */
    async writeSampleRecords(): Promise<void> {
        const { code, stderr } = await this.processes.run(["records", "apply", "--wait-ms", "9000", "-"], this.operatorEnv, JSON.stringify(sampleRecords));
        if (code !== 0) {
            throw new Error(`records apply ended with ${code}: ${stderr}`);
        }
        for (const url of this.nodeUrls.values()) {
            for (const artifact of ["model:wiring-7b@1", "model:contract-7b@1", "adapter:bus-panels@1"]) {
                await waitFor(`${artifact} at ${url}`, async () =>
                    JSON.stringify(await this.fetchJson(`${url}/admin/status`, operatorToken)).includes(
                        `"artifact":"${artifact}","memoryMiB":${artifact.includes("panels") ? 200 : 9_000},"state":"resident"`,
                    ));
            }
        }
    }

    /** Sets faults or state of a stand-in through its control interface. */
    async control(url: string, body: object, path = "/control"): Promise<void> {
        await fetch(`${url}${path}`, { method: "POST", body: JSON.stringify(body) });
    }

    /** Fetches JSON with a bearer token. */
    async fetchJson(url: string, token: string): Promise<unknown> {
        return (await fetch(url, { headers: { authorization: `Bearer ${token}` } })).json();
    }

    /** Violations that the stand-ins recorded. */
    async violations(): Promise<readonly string[]> {
        const urls = [this.infrastructureUrl, this.serviceUrl, ...this.engineUrls.values()];
        const answers = await Promise.all(urls.map(async url => await (await fetch(`${url}/witness`)).json() as { violations: string[]; }));
        return answers.flatMap(answer => answer.violations);
    }

    /** Starts a node, or restarts it under the same name and address. */
    async startNode(id: string, zone: string): Promise<void> {
        const url = this.nodeUrls.get(id) ?? `http://127.0.0.1:${await reservePort()}`;
        this.nodeUrls.set(id, url);
        this.processes.startNode(id, {
            ...shortIntervalsEnv,
            ...this.setup.env,
            JACKDAWTRAIL_LISTEN: url.slice("http://".length),
            JACKDAWTRAIL_NODE_ID: id,
            JACKDAWTRAIL_AVAILABILITY_ZONE: zone,
            JACKDAWTRAIL_ADVERTISE_URL: url,
            JACKDAWTRAIL_TABLE_URL: this.infrastructureUrl,
            JACKDAWTRAIL_OBJECT_STORE_URL: this.infrastructureUrl,
            JACKDAWTRAIL_VM_LIST_URL: this.infrastructureUrl,
            JACKDAWTRAIL_PEER_SECRET: "peer-secret-of-the-stand-ins",
            JACKDAWTRAIL_OPERATOR_TOKEN: operatorToken,
        });
        await waitFor(`${id} healthy`, async () => (await fetch(`${url}/healthz`)).ok);
    }

    private async start(): Promise<void> {
        const { processes, setup } = this;
        [this.infrastructureUrl, this.serviceUrl] = await Promise.all([processes.startFake("platform", "platform"), processes.startFake("service", "service")]);
        await Promise.all(
            setup.runners.map(async ({ id }) => this.engineUrls.set(id, await processes.startFake(id, "engine", { ...defaultEngineSetup, ...setup.engine }))),
        );
        await Promise.all(setup.nodes.map(({ id, zone }) => this.startNode(id, zone)));
        const zoneOf = new Map([...setup.nodes, ...setup.runners].map(({ id, zone }) => [id, zone]));
        const createVm = (id: string, url: string, kind: VmKind, group?: string): Vm => ({
            id,
            kind,
            state: VmState.Live,
            availabilityZone: zoneOf.get(id) ?? setup.nodes[0]!.zone,
            url,
            group,
            accelerators: 1,
        });
        this.vms.push(
            ...[...this.nodeUrls].map(([id, url]) => createVm(id, url, VmKind.Node)),
            ...[...this.engineUrls].map(([id, url]) => createVm(id, url, VmKind.Runner, "leitor")),
            createVm("licences-1", this.serviceUrl, VmKind.Service, "licences"),
        );
        await this.control(this.infrastructureUrl, this.vms, "/control/vms");
    }
}
