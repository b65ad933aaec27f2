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
const idempotencyKeys = ["k0", "k1", "k2"];

type ServiceFault = "reset" | "refuse" | "unreachable" | "late";
type Operation =
    | { readonly op: "call"; readonly node: number; readonly key: number; }
    | { readonly op: "kill" | "freeze"; readonly node: number; readonly ms: number; }
    | { readonly op: "service"; readonly fault: ServiceFault; readonly count: number; }
    | { readonly op: "wait"; readonly ms: number; }
    | TableFault;

const operationArbitrary: fc.Arbitrary<Operation> = fc.oneof(
    { weight: 6, arbitrary: fc.record({ op: fc.constant("call" as const), node: fc.nat(nodeCount - 1), key: fc.nat(idempotencyKeys.length - 1) }) },
    fc.record({ op: fc.constantFrom("kill" as const, "freeze" as const), node: fc.nat(nodeCount - 1), ms: fc.constantFrom(100, 5_000, 40_000) }),
    fc.record({
        op: fc.constant("service" as const),
        fault: fc.constantFrom<ServiceFault>("reset", "refuse", "unreachable", "late"),
        count: fc.integer({ min: 1, max: 3 }),
    }),
    { weight: 3, arbitrary: fc.record({ op: fc.constant("wait" as const), ms: fc.integer({ min: 1, max: 3_000 }) }) },
    tableFaultArbitrary,
);

const parsedRecord = parseRecord({ schemaVersion: 2, kind: "service", name: "licences", calls: [] });
const service = parsedRecord.ok ? parsedRecord.record as ServiceRecord : undefined;

interface NodeProcess {
    processFaults: ProcessFaultInjector;
    context: NodeContext;
}

/** Nodes that call one service that records each execution of a request. */
class ClaimsSimulation {
    private readonly table: MemoryTable;
    private readonly processes: NodeProcess[] = [];
    private readonly remainingServiceFaults: Record<ServiceFault, number> = { reset: 0, refuse: 0, unreachable: 0, late: 0 };
    private readonly executions: { readonly requestId: string; readonly key: string; }[] = [];
    private readonly reportedNotRun = new Set<string>();
    private readonly outcomes = new Map<string, string>();
    private requestCount = 0;

    private constructor(private readonly clock: RunClock, { ignoresConditions = false }: DisabledSafeguards) {
        this.table = MemoryTable.create(!ignoresConditions);
        this.processes.push(...[...Array(nodeCount).keys()].map(node => this.startProcess(node)));
    }

    static create(clock: RunClock, disabledSafeguards: DisabledSafeguards): ClaimsSimulation {
        return new ClaimsSimulation(clock, disabledSafeguards);
    }

    async execute(operations: readonly Operation[]): Promise<void> {
        for (const operation of operations) {
            this.startOperation(operation);
            await this.clock.advance(operation.op === "wait" ? operation.ms : 5);
            this.check();
        }
        clearTableFaults(this.table);
        await this.clock.advance(120_000);
        this.check();
    }

    private startProcess(node: number): NodeProcess {
        const processFaults = ProcessFaultInjector.create();
        const { context } = StandaloneNode.create(createStandaloneTestSettings(`n${node}`, "za"), {
            table: withProcessFaults(this.table, processFaults),
            objects: { get: () => Promise.resolve(undefined), put: () => Promise.resolve() },
            vmList: { list: () => Promise.resolve([]) },
            engines: () => raise(FailureKind.Internal, "this run has no engines"),
            random: createRandom(node),
        });
        context.fleet.setVms(["s0", "s1"].map(id => ({ id, kind: VmKind.Service, state: VmState.Live, availabilityZone: "za", url: id, group: "licences" })));
        return { processFaults, context };
    }

    private consumeFault(fault: ServiceFault): boolean {
        return this.remainingServiceFaults[fault] > 0 && this.remainingServiceFaults[fault]-- > 0;
    }

    private createClient(processFaults: ProcessFaultInjector): ServiceClient {
        return {
            call: async (url, { attemptId, headers }) => {
                // A node may be killed or suspended between the commit of its claim and the moment at which it sends the call.
                await processFaults.waitUntilRunning();
                const requestId = attemptId.split(".")[0]!;
                assert.ok(url.startsWith("s"));
                const key = headers["idempotency-key"] ?? "";
                if (this.consumeFault("unreachable")) {
                    return raise(FailureKind.UpstreamLost, "ECONNREFUSED");
                }
                if (this.consumeFault("refuse")) {
                    return raise(FailureKind.UpstreamRefused, "status 503");
                }
                if (this.consumeFault("late")) {
                    setTimeout(() => this.executions.push({ requestId, key }), 2_000);
                    return raise(FailureKind.UpstreamLost, "timeout", Verdict.MayHaveRun);
                }
                this.executions.push({ requestId, key });
                const body = `outcome of ${requestId}`;
                await processFaults.waitUntilRunning();
                return this.consumeFault("reset") ? raise(FailureKind.UpstreamLost, "ECONNRESET", Verdict.MayHaveRun) : { status: 200, headers: {}, body };
            },
        };
    }

    private async sendCall(process: NodeProcess, key: string): Promise<void> {
        const requestId = `r${++this.requestCount}`;
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
            const outcome = await callService(process.context, this.createClient(process.processFaults), { ...call, deadlineAt: performance.now() + 30_000 });
            const firstOutcome = this.outcomes.get(key) ?? outcome.body;
            this.outcomes.set(key, firstOutcome);
            assert.equal(outcome.body, firstOutcome, "two callers with the same idempotency key received different outcomes");
        }
        catch (err) {
            const { verdict, kind, detail } = toFailure(err);
            assert.notEqual(kind, FailureKind.Internal, detail);
            if (verdict === Verdict.NotRun) {
                this.reportedNotRun.add(requestId);
            }
        }
    }

    private startOperation(operation: Operation): void {
        const handlers: { readonly [K in Operation["op"]]: (given: Extract<Operation, { op: K; }>) => void; } = {
            call: ({ node, key }) => void this.sendCall(this.processes[node]!, idempotencyKeys[key]!).catch(err => this.asyncErrors.push(err)),
            kill: ({ node }) => {
                this.processes[node]!.processFaults.kill();
                this.processes[node] = this.startProcess(node);
            },
            freeze: ({ node, ms }) => this.processes[node]!.processFaults.suspend(ms),
            service: ({ fault, count }) => void (this.remainingServiceFaults[fault] = count),
            wait: () => undefined,
            table: fault => injectTableFault(this.table, fault),
        };
        (handlers[operation.op] as (given: Operation) => void)(operation);
    }

    private readonly asyncErrors: unknown[] = [];

    private check(): void {
        if (this.asyncErrors.length > 0) {
            throw this.asyncErrors[0];
        }
        for (const key of idempotencyKeys) {
            assert.ok(this.executions.filter(execution => execution.key === key).length <= 1, `the request with idempotency key ${key} ran more than once`);
        }
        const wronglyReported = this.executions.find(execution => this.reportedNotRun.has(execution.requestId));
        assert.equal(wronglyReported, undefined, "a request ran although its caller received the verdict not-run");
    }
}

/** A non-idempotent request runs at most once, and a request with the verdict not-run did not run. */
export const createClaimsRun = (disabledSafeguards: DisabledSafeguards = {}): Run<Operation> => ({
    name: "claims",
    operationArbitrary,
    execute: (operations, clock) => ClaimsSimulation.create(clock, disabledSafeguards).execute(operations),
});
