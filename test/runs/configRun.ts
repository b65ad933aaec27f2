import fc from "fast-check";
import assert from "node:assert/strict";
import { syncConfigStore } from "../../src/core/configFeed";
import { changePrefix } from "../../src/core/configKeys";
import { ConfigStore } from "../../src/core/configStore";
import { commitEdits } from "../../src/core/configWriter";
import { toFailure } from "../../src/core/failures";
import type { ConfigChange } from "../../src/types/config";
import { RecordKind } from "../../src/types/config";
import { FailureKind } from "../../src/types/failureKind";
import { Verdict } from "../../src/types/verdict";
import { MemoryTable } from "../fakes/memoryTable";
import { ProcessFaultInjector, withProcessFaults } from "./processFaultInjector";
import type { DisabledSafeguards, Run, RunClock } from "./run";
import type { TableFault } from "./tableFaults";
import { clearTableFaults, injectTableFault, tableFaultArbitrary } from "./tableFaults";

const nodeCount = 3;
const modelNames = ["m0", "m1", "m2"];

type Operation =
    | {
        readonly op: "write";
        readonly node: number;
        readonly name: number;
        readonly withdraw: boolean;
        readonly schemaVersion: 1 | 2;
        readonly retry: boolean;
    }
    | { readonly op: "follow" | "restart" | "kill" | "freeze"; readonly node: number; readonly ms: number; }
    | { readonly op: "peer"; readonly node: number; readonly from: number; }
    | { readonly op: "wait"; readonly ms: number; }
    | TableFault;

const node = fc.nat(nodeCount - 1);
const operationArbitrary: fc.Arbitrary<Operation> = fc.oneof(
    {
        weight: 5,
        arbitrary: fc.record({
            op: fc.constant("write" as const),
            node,
            name: fc.nat(modelNames.length - 1),
            withdraw: fc.boolean(),
            schemaVersion: fc.constantFrom(1 as const, 2 as const),
            retry: fc.boolean(),
        }),
    },
    { weight: 3, arbitrary: fc.record({ op: fc.constant("follow" as const), node, ms: fc.constant(0) }) },
    fc.record({ op: fc.constantFrom("restart" as const, "kill" as const, "freeze" as const), node, ms: fc.constantFrom(100, 4_000, 20_000) }),
    { weight: 2, arbitrary: fc.record({ op: fc.constant("peer" as const), node, from: node }) },
    { weight: 2, arbitrary: fc.record({ op: fc.constant("wait" as const), ms: fc.integer({ min: 1, max: 3_000 }) }) },
    tableFaultArbitrary,
);

interface NodeProcess {
    processFaults: ProcessFaultInjector;
    store: ConfigStore;
}

/** Operators that write concurrently through several nodes, and nodes that synchronize from the table and from peers. */
class ConfigSimulation {
    private readonly table: MemoryTable;
    private readonly processes: NodeProcess[] = [...Array(nodeCount).keys()].map(() => ({
        processFaults: ProcessFaultInjector.create(),
        store: ConfigStore.create(),
    }));
    private readonly accepted = new Map<string, number>();
    private readonly refused = new Set<string>();
    private readonly asyncErrors: unknown[] = [];
    private operationCount = 0;

    private constructor(private readonly clock: RunClock, { ignoresConditions = false }: DisabledSafeguards) {
        this.table = MemoryTable.create(!ignoresConditions);
    }

    static create(clock: RunClock, disabledSafeguards: DisabledSafeguards): ConfigSimulation {
        return new ConfigSimulation(clock, disabledSafeguards);
    }

    async execute(operations: readonly Operation[]): Promise<void> {
        for (const operation of operations) {
            this.startOperation(operation);
            await this.clock.advance(operation.op === "wait" ? operation.ms : 5);
            this.check();
        }
        clearTableFaults(this.table);
        await this.clock.advance(60_000);
        await Promise.all(this.processes.map(({ store }) => syncConfigStore(this.table, store)));
        this.check();
        this.processes.forEach(({ store }) =>
            assert.equal(store.sequence, this.readChangeFeed().length, "a node has not applied the whole change feed at the end of the run")
        );
    }

    private readChangeFeed(): readonly ConfigChange[] {
        const keys = [...this.table.rows.keys()].filter(key => key.startsWith(changePrefix)).sort();
        return keys.map(key => this.table.rows.get(key)!.value as ConfigChange);
    }

    private async write(process: NodeProcess, { name, withdraw, schemaVersion, retry }: Extract<Operation, { op: "write"; }>): Promise<void> {
        const id = { kind: RecordKind.Model, name: modelNames[name]! };
        const operationId = `op${++this.operationCount}`;
        const base = process.store.find(id)?.revision ?? 0;
        const memory = schemaVersion === 1 ? { memoryBytes: 35 * 1_048_576 } : { memoryMiB: 35 };
        const record = withdraw ? undefined : { ...id, schemaVersion, version: String(this.operationCount), deployment: "d", unknown: operationId, ...memory };
        const table = withProcessFaults(this.table, process.processFaults);
        const attempt = async (): Promise<void> => {
            // A retry may be accepted although the first attempt was refused, if the record was withdrawn in between.
            this.refused.delete(operationId);
            try {
                const { sequence } = await commitEdits(table, [{ ...id, base, record }], operationId);
                this.accepted.set(operationId, sequence);
            }
            catch (err) {
                const { kind, verdict, detail } = toFailure(err);
                assert.notEqual(kind, FailureKind.Internal, detail);
                if (verdict === Verdict.NotRun && kind !== FailureKind.TableUnavailable) {
                    this.refused.add(operationId);
                }
            }
        };
        // An operator that received no answer retries the operation with the same ID.
        await attempt();
        if (retry) {
            await attempt();
        }
    }

    private startOperation(operation: Operation): void {
        const processOf = (index: number): NodeProcess => this.processes[index]!;
        const handlers: { readonly [K in Operation["op"]]: (given: Extract<Operation, { op: K; }>) => void; } = {
            write: write => void this.write(processOf(write.node), write).catch(err => this.asyncErrors.push(err)),
            follow: ({ node: index }) =>
                void syncConfigStore(withProcessFaults(this.table, processOf(index).processFaults), processOf(index).store).catch(err =>
                    toFailure(err).kind === FailureKind.Internal && this.asyncErrors.push(err)
                ),
            restart: ({ node: index }) => void (processOf(index).store = ConfigStore.create()),
            kill: ({ node: index }) => {
                processOf(index).processFaults.kill();
                this.processes[index] = { processFaults: ProcessFaultInjector.create(), store: ConfigStore.create() };
            },
            freeze: ({ node: index, ms }) => processOf(index).processFaults.suspend(ms),
            peer: ({ node: index, from }) => {
                const changes = processOf(index).store.sequence === 0 ? undefined : processOf(from).store.changesSince(processOf(index).store.sequence);
                if (changes) {
                    processOf(index).store.applyChanges(changes);
                }
                else {
                    processOf(index).store.replace(JSON.parse(JSON.stringify(processOf(from).store.snapshot())));
                }
            },
            wait: () => undefined,
            table: fault => injectTableFault(this.table, fault),
        };
        (handlers[operation.op] as (given: Operation) => void)(operation);
    }

    private check(): void {
        if (this.asyncErrors.length > 0) {
            throw this.asyncErrors[0];
        }
        const feed = this.readChangeFeed();
        feed.forEach((change, index) => assert.equal(change.sequence, index + 1, "the change feed has a gap"));
        for (const [operationId, sequence] of this.accepted) {
            const changes = feed.filter(change => change.operationId === operationId);
            assert.deepEqual(changes.map(change => change.sequence), [sequence], `${operationId} was accepted but is not in the change feed exactly once`);
        }
        feed.forEach(({ operationId }) => assert.ok(!this.refused.has(operationId), `${operationId} was refused but is in the change feed`));
        this.processes.forEach(({ store }, index) => this.checkStore(store, feed, index));
    }

    /** Asserts that a node's records match the change feed up to its sequence, except records that a listing returned in a later state. */
    private checkStore(store: ConfigStore, feed: readonly ConfigChange[], index: number): void {
        for (const name of modelNames) {
            const changes = feed.filter(change => change.name === name);
            const stored = store.find({ kind: RecordKind.Model, name });
            const expected = changes.filter(change => change.sequence <= store.sequence).at(-1);
            const isNewer = stored !== undefined && stored.revision > store.sequence;
            if (!isNewer) {
                assert.equal(
                    stored?.raw.unknown,
                    expected?.record?.unknown,
                    `node ${index} has a ${name} that differs from the change feed at sequence ${store.sequence}`,
                );
            }
        }
    }
}

/** An accepted change reaches every node in the end, is never lost or applied twice, and no node reverts to an earlier state. */
export const createConfigRun = (disabledSafeguards: DisabledSafeguards = {}): Run<Operation> => ({
    name: "configuration",
    operationArbitrary,
    execute: (operations, clock) => ConfigSimulation.create(clock, disabledSafeguards).execute(operations),
});
