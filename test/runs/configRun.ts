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
const names = ["m0", "m1", "m2"];

type Operation =
    | {
        readonly op: "write";
        readonly node: number;
        readonly name: number;
        readonly withdraw: boolean;
        readonly schemaVersion: 1 | 2;
        readonly repeat: boolean;
    }
    | { readonly op: "follow" | "restart" | "kill" | "freeze"; readonly node: number; readonly ms: number; }
    | { readonly op: "peer"; readonly node: number; readonly from: number; }
    | { readonly op: "wait"; readonly ms: number; }
    | TableFault;

const node = fc.nat(nodeCount - 1);
const operation: fc.Arbitrary<Operation> = fc.oneof(
    {
        weight: 5,
        arbitrary: fc.record({
            op: fc.constant("write" as const),
            node,
            name: fc.nat(names.length - 1),
            withdraw: fc.boolean(),
            schemaVersion: fc.constantFrom(1 as const, 2 as const),
            repeat: fc.boolean(),
        }),
    },
    { weight: 3, arbitrary: fc.record({ op: fc.constant("follow" as const), node, ms: fc.constant(0) }) },
    fc.record({ op: fc.constantFrom("restart" as const, "kill" as const, "freeze" as const), node, ms: fc.constantFrom(100, 4_000, 20_000) }),
    { weight: 2, arbitrary: fc.record({ op: fc.constant("peer" as const), node, from: node }) },
    { weight: 2, arbitrary: fc.record({ op: fc.constant("wait" as const), ms: fc.integer({ min: 1, max: 3_000 }) }) },
    tableFaultArbitrary,
);

interface Process {
    gate: ProcessFaultInjector;
    store: ConfigStore;
}

/** Operators that race through several nodes, and nodes that follow by table and by peers. */
class ConfigWorld {
    private readonly table: MemoryTable;
    private readonly processes: Process[] = [...Array(nodeCount).keys()].map(() => ({ gate: ProcessFaultInjector.create(), store: ConfigStore.create() }));
    private readonly accepted = new Map<string, number>();
    private readonly refused = new Set<string>();
    private readonly failures: unknown[] = [];
    private operations = 0;

    private constructor(private readonly clock: RunClock, { ignoresConditions = false }: DisabledSafeguards) {
        this.table = MemoryTable.create(!ignoresConditions);
    }

    static create(clock: RunClock, sabotage: DisabledSafeguards): ConfigWorld {
        return new ConfigWorld(clock, sabotage);
    }

    async execute(operations: readonly Operation[]): Promise<void> {
        for (const drawn of operations) {
            this.begin(drawn);
            await this.clock.advance(drawn.op === "wait" ? drawn.ms : 5);
            this.check();
        }
        clearTableFaults(this.table);
        await this.clock.advance(60_000);
        await Promise.all(this.processes.map(({ store }) => syncConfigStore(this.table, store)));
        this.check();
        this.processes.forEach(({ store }) => assert.equal(store.sequence, this.feed().length, "a node is behind at the end"));
    }

    private feed(): readonly ConfigChange[] {
        const keys = [...this.table.rows.keys()].filter(key => key.startsWith(changePrefix)).sort();
        return keys.map(key => this.table.rows.get(key)!.value as ConfigChange);
    }

    private async write(process: Process, { name, withdraw, schemaVersion, repeat }: Extract<Operation, { op: "write"; }>): Promise<void> {
        const id = { kind: RecordKind.Model, name: names[name]! };
        const operationId = `op${++this.operations}`;
        const base = process.store.find(id)?.revision ?? 0;
        const memory = schemaVersion === 1 ? { memoryBytes: 35 * 1_048_576 } : { memoryMiB: 35 };
        const record = withdraw ? undefined : { ...id, schemaVersion, version: String(this.operations), deployment: "d", unknown: operationId, ...memory };
        const table = withProcessFaults(this.table, process.gate);
        const attempt = async (): Promise<void> => {
            // A repeat may be accepted although the first attempt was refused: the record has been withdrawn in between.
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
        // An operator without an answer repeats the operation under the same ID.
        await attempt();
        if (repeat) {
            await attempt();
        }
    }

    private begin(drawn: Operation): void {
        const of = (at: number): Process => this.processes[at]!;
        const handlers: { readonly [K in Operation["op"]]: (given: Extract<Operation, { op: K; }>) => void; } = {
            write: given => void this.write(of(given.node), given).catch(err => this.failures.push(err)),
            follow: ({ node: at }) =>
                void syncConfigStore(withProcessFaults(this.table, of(at).gate), of(at).store).catch(err =>
                    toFailure(err).kind === FailureKind.Internal && this.failures.push(err)
                ),
            restart: ({ node: at }) => void (of(at).store = ConfigStore.create()),
            kill: ({ node: at }) => {
                of(at).gate.kill();
                this.processes[at] = { gate: ProcessFaultInjector.create(), store: ConfigStore.create() };
            },
            freeze: ({ node: at, ms }) => of(at).gate.suspend(ms),
            peer: ({ node: at, from }) => {
                const changes = of(at).store.sequence === 0 ? undefined : of(from).store.changesSince(of(at).store.sequence);
                if (changes) {
                    of(at).store.applyChanges(changes);
                }
                else {
                    of(at).store.replace(JSON.parse(JSON.stringify(of(from).store.snapshot())));
                }
            },
            wait: () => undefined,
            table: fault => injectTableFault(this.table, fault),
        };
        (handlers[drawn.op] as (given: Operation) => void)(drawn);
    }

    private check(): void {
        if (this.failures.length > 0) {
            throw this.failures[0];
        }
        const feed = this.feed();
        feed.forEach((change, at) => assert.equal(change.sequence, at + 1, "the feed has a gap"));
        for (const [operationId, sequence] of this.accepted) {
            const changes = feed.filter(change => change.operationId === operationId);
            assert.deepEqual(changes.map(change => change.sequence), [sequence], `${operationId} was accepted and is not in the feed just once`);
        }
        feed.forEach(({ operationId }) => assert.ok(!this.refused.has(operationId), `${operationId} was refused and is in the feed`));
        this.processes.forEach(({ store }, at) => this.checkStore(store, feed, at));
    }

    /** A node holds exactly what the feed says up to its sequence, but for records that a listing brought in a later state. */
    private checkStore(store: ConfigStore, feed: readonly ConfigChange[], at: number): void {
        for (const name of names) {
            const changes = feed.filter(change => change.name === name);
            const held = store.find({ kind: RecordKind.Model, name });
            const expected = changes.filter(change => change.sequence <= store.sequence).at(-1);
            const isLater = held !== undefined && held.revision > store.sequence;
            if (!isLater) {
                assert.equal(held?.raw.unknown, expected?.record?.unknown, `node ${at} holds another ${name} than sequence ${store.sequence} says`);
            }
        }
    }
}

/** An accepted configuration is in force everywhere in the end, is never lost or doubled, and no node goes back. */
export const createConfigRun = (sabotage: DisabledSafeguards = {}): Run<Operation> => ({
    name: "configuration",
    operationArbitrary: operation,
    execute: (operations, clock) => ConfigWorld.create(clock, sabotage).execute(operations),
});
