import type { Random } from "../../src/utils/random";
import { pick } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import type { CallersRecord, DiscardingCallersSetup } from "../fakes/discardingCallers";
import type { MemoryPlatformStore } from "../fakes/memoryPlatformStore";
import { Processes } from "../fakes/processes";
import { endlessForms, pieceForms, slow } from "../fakes/smallPieces";
import type { SoakNode } from "./soakNode";

const rowIntervalMs = 400;
const callersPerNode = 3;
const callPauseMs = 50;
const maxPauseMs = 1_500;
const minFaultMs = 2_000;
const extraFaultMs = 3_000;
const statuses = [200, 500];

/** Routes to the service whose upstreams answer without end. */
export const endlessRoutes = [
    { path: "/endless/", routeKind: "idempotent", service: "endless", attempts: 2 },
    { path: "/endless-stream/", routeKind: "streaming", service: "endless", attempts: 2 },
];

/** Times in which an upstream of a service of its own answers without end, in one form after the other, and callers call it through all nodes. */
export class EndlessAnswers {
    private readonly processes = Processes.create();
    private isEnded = false;
    private count = 0;
    /** Calls in all times, and how many of them had an answer. */
    calls = 0;
    answered = 0;

    private constructor(private readonly store: MemoryPlatformStore) {}

    static create(store: MemoryPlatformStore): EndlessAnswers {
        return new EndlessAnswers(store);
    }

    end(): void {
        this.isEnded = true;
    }

    /** Lets one time follow the other until the end; the upstream's row leaves the store with it. */
    async run(nodes: readonly SoakNode[], random: Random): Promise<void> {
        try {
            while (!this.isEnded) {
                await sleep(maxPauseMs * random());
                await this.runOnce(nodes, random);
            }
        }
        finally {
            await this.processes.stopAll();
        }
    }

    private async runOnce(nodes: readonly SoakNode[], random: Random): Promise<void> {
        const { name: form } = pick([...pieceForms, ...endlessForms], random)!;
        const status = pick(statuses, random)!;
        const { path } = pick(endlessRoutes, random)!;
        const endAt = performance.now() + minFaultMs + extraFaultMs * random();
        const id = `e${++this.count}`;
        const server = await this.processes.startFake(id, "pieceServer", { form, status, pace: slow });
        const callers = await Promise.all(
            nodes.map(({ name, callerAddress: address }) => {
                const setup: DiscardingCallersSetup = { address, path: `${path}x`, callers: callersPerNode, pauseMs: callPauseMs };
                return this.processes.startFake(`${id}-${name}`, "discardingCallers", setup);
            }),
        );
        const row = { service: "endless", addr: new URL(server).host, zone: "a", slots: 64, state: "ready", born: 1 };
        while (!this.isEnded && performance.now() < endAt) {
            // A restored store may lack the row.
            this.putRow(id, Buffer.from(JSON.stringify(row)));
            await sleep(rowIntervalMs);
        }
        this.putRow(id, undefined);
        for (const url of callers) {
            const { calls, statuses: answers } = await (await fetch(`${url}/record`)).json() as CallersRecord;
            this.calls += calls;
            this.answered += Object.entries(answers).reduce((sum, [answer, times]) => answer === "0" ? sum : sum + times, 0);
        }
        await this.processes.stopAll();
    }

    private putRow(key: string, bytes: Buffer | undefined): void {
        this.store.put({ table: "servers", part: "", key }, bytes);
    }
}
