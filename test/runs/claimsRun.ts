import fc from "fast-check";
import assert from "node:assert/strict";
import { raise, toFailure } from "../../src/core/failures";
import { parseRecord } from "../../src/core/recordSchemas";
import type { ServiceRecord } from "../../src/core/recordSchemas";
import { callService } from "../../src/core/serviceCall";
import type { NodeContext } from "../../src/node/context";
import { StandaloneNode } from "../../src/node/standaloneNode";
import { FailureKind } from "../../src/types/failureKind";
import type { ServiceClient } from "../../src/types/service";
import { Verdict } from "../../src/types/verdict";
import { VmKind, VmState } from "../../src/types/vm";
import { createRandom } from "../../src/utils/random";
import { MemoryTable } from "../fakes/memoryTable";
import { createStandaloneTestSettings } from "../fakes/standaloneTestSettings";
import { ProcessFaultInjector, withProcessFaults } from "./processFaultInjector";
import type { DisabledSafeguards, Run, RunClock } from "./run";
import type { TableFault } from "./tableFaults";
import { clearTableFaults, injectTableFault, tableFaultArbitrary } from "./tableFaults";

const nodeCount = 3;
const keys = ["k0", "k1", "k2"];

type ServiceFault = "reset" | "refuse" | "unreachable" | "late";
type Operation =
    | { readonly op: "call"; readonly node: number; readonly key: number; }
    | { readonly op: "kill" | "freeze"; readonly node: number; readonly ms: number; }
    | { readonly op: "service"; readonly fault: ServiceFault; readonly count: number; }
    | { readonly op: "wait"; readonly ms: number; }
    | TableFault;

const operation: fc.Arbitrary<Operation> = fc.oneof(
    { weight: 6, arbitrary: fc.record({ op: fc.constant("call" as const), node: fc.nat(nodeCount - 1), key: fc.nat(keys.length - 1) }) },
    fc.record({ op: fc.constantFrom("kill" as const, "freeze" as const), node: fc.nat(nodeCount - 1), ms: fc.constantFrom(100, 5_000, 40_000) }),
    fc.record({
        op: fc.constant("service" as const),
        fault: fc.constantFrom<ServiceFault>("reset", "refuse", "unreachable", "late"),
        count: fc.integer({ min: 1, max: 3 }),
    }),
    { weight: 3, arbitrary: fc.record({ op: fc.constant("wait" as const), ms: fc.integer({ min: 1, max: 3_000 }) }) },
    tableFaultArbitrary,
);

const reading = parseRecord({ schemaVersion: 2, kind: "service", name: "licences", calls: [] });
const service = reading.ok ? reading.record as ServiceRecord : undefined;

interface Process {
    gate: ProcessFaultInjector;
    context: NodeContext;
}

/** Nodes that call one plain service, a witness of each run. */
class ClaimsWorld {
    private readonly table: MemoryTable;
    private readonly processes: Process[] = [];
    private readonly faults: Record<ServiceFault, number> = { reset: 0, refuse: 0, unreachable: 0, late: 0 };
    private readonly runs: { readonly request: string; readonly key: string; }[] = [];
    private readonly notRun = new Set<string>();
    private readonly answers = new Map<string, string>();
    private requests = 0;

    private constructor(private readonly clock: RunClock, { ignoresConditions = false }: DisabledSafeguards) {
        this.table = MemoryTable.create(!ignoresConditions);
        this.processes.push(...[...Array(nodeCount).keys()].map(node => this.startProcess(node)));
    }

    static create(clock: RunClock, sabotage: DisabledSafeguards): ClaimsWorld {
        return new ClaimsWorld(clock, sabotage);
    }

    async execute(operations: readonly Operation[]): Promise<void> {
        for (const drawn of operations) {
            this.begin(drawn);
            await this.clock.advance(drawn.op === "wait" ? drawn.ms : 5);
            this.check();
        }
        clearTableFaults(this.table);
        await this.clock.advance(120_000);
        this.check();
    }

    private startProcess(node: number): Process {
        const gate = ProcessFaultInjector.create();
        const { context } = StandaloneNode.create(createStandaloneTestSettings(`n${node}`, "za"), {
            table: withProcessFaults(this.table, gate),
            objects: { get: () => Promise.resolve(undefined), put: () => Promise.resolve() },
            vmList: { list: () => Promise.resolve([]) },
            engines: () => raise(FailureKind.Internal, "no engines here"),
            random: createRandom(node),
        });
        context.fleet.setVms(["s0", "s1"].map(id => ({ id, kind: VmKind.Service, state: VmState.Live, availabilityZone: "za", url: id, group: "licences" })));
        return { gate, context };
    }

    private spend(fault: ServiceFault): boolean {
        return this.faults[fault] > 0 && this.faults[fault]-- > 0;
    }

    private createClient(gate: ProcessFaultInjector): ServiceClient {
        return {
            call: async (url, { attemptId, headers }) => {
                // A node may be killed or frozen between its claim and the moment at which the call leaves.
                await gate.waitUntilRunning();
                const request = attemptId.split(".")[0]!;
                assert.ok(url.startsWith("s"));
                const key = headers["idempotency-key"] ?? "";
                if (this.spend("unreachable")) {
                    return raise(FailureKind.UpstreamLost, "ECONNREFUSED");
                }
                if (this.spend("refuse")) {
                    return raise(FailureKind.UpstreamRefused, "status 503");
                }
                if (this.spend("late")) {
                    setTimeout(() => this.runs.push({ request, key }), 2_000);
                    return raise(FailureKind.UpstreamLost, "timeout", Verdict.MayHaveRun);
                }
                this.runs.push({ request, key });
                const body = `outcome of ${request}`;
                await gate.waitUntilRunning();
                return this.spend("reset") ? raise(FailureKind.UpstreamLost, "ECONNRESET", Verdict.MayHaveRun) : { status: 200, headers: {}, body };
            },
        };
    }

    private async call(process: Process, key: string): Promise<void> {
        const requestId = `r${++this.requests}`;
        const call = {
            requestId,
            caller: "c",
            service: service!,
            method: "POST",
            path: "/reservations",
            headers: {},
            body: Buffer.from("{}"),
            idempotencyKey: key,
        };
        try {
            const outcome = await callService(process.context, this.createClient(process.gate), { ...call, deadlineAt: performance.now() + 30_000 });
            const known = this.answers.get(key) ?? outcome.body;
            this.answers.set(key, known);
            assert.equal(outcome.body, known, "two callers with one key have two outcomes");
        }
        catch (err) {
            const { verdict, kind, detail } = toFailure(err);
            assert.notEqual(kind, FailureKind.Internal, detail);
            if (verdict === Verdict.NotRun) {
                this.notRun.add(requestId);
            }
        }
    }

    private begin(drawn: Operation): void {
        const handlers: { readonly [K in Operation["op"]]: (given: Extract<Operation, { op: K; }>) => void; } = {
            call: ({ node, key }) => void this.call(this.processes[node]!, keys[key]!).catch(err => this.failures.push(err)),
            kill: ({ node }) => {
                this.processes[node]!.gate.kill();
                this.processes[node] = this.startProcess(node);
            },
            freeze: ({ node, ms }) => this.processes[node]!.gate.suspend(ms),
            service: ({ fault, count }) => void (this.faults[fault] = count),
            wait: () => undefined,
            table: fault => injectTableFault(this.table, fault),
        };
        (handlers[drawn.op] as (given: Operation) => void)(drawn);
    }

    private readonly failures: unknown[] = [];

    private check(): void {
        if (this.failures.length > 0) {
            throw this.failures[0];
        }
        for (const key of keys) {
            assert.ok(this.runs.filter(run => run.key === key).length <= 1, `${key} ran twice`);
        }
        const contradicted = this.runs.find(run => this.notRun.has(run.request));
        assert.equal(contradicted, undefined, "a request ran whose caller was told that it did not");
    }
}

/** A request that must not be repeated runs at most once, and what is said not to have run did not run. */
export const createClaimsRun = (sabotage: DisabledSafeguards = {}): Run<Operation> => ({
    name: "claims",
    operationArbitrary: operation,
    execute: (operations, clock) => ClaimsWorld.create(clock, sabotage).execute(operations),
});
