import assert from "node:assert/strict";
import { isReportedResident, reservationKey } from "../../src/core/memoryReservations";
import { ZoneControllerCandidate } from "../../src/core/zoneControllerCandidate";
import type { Engine } from "../../src/types/engine";
import { EventId } from "../../src/types/eventId";
import type { ReservationRow } from "../../src/types/memoryReservation";
import { ReservationState } from "../../src/types/memoryReservation";
import type { EngineOrder } from "../../src/types/order";
import type { OrderAnswer } from "../../src/types/order";
import type { Offer } from "../../src/types/plan";
import { ResidencyState } from "../../src/types/report";
import { VmKind, VmState } from "../../src/types/vm";
import type { ZoneControllerInputs } from "../../src/types/zoneController";
import { observeEvents } from "../../src/utils/events";
import { MemoryTable } from "../fakes/memoryTable";
import { SimulatedEngine } from "../fakes/simulatedEngine";
import type { Operation } from "./memoryOperations";
import { latenessMs, memoryOperationArbitrary, modelNames, modelSizesMiB } from "./memoryOperations";
import { FaultyOrderNetwork } from "./orderNetwork";
import { ProcessFaultInjector, withProcessFaults } from "./processFaultInjector";
import type { DisabledSafeguards, Run, RunClock } from "./run";

const drainDelayMs = 1_000;
const roundMs = 500;
const checkMs = 250;
const settleMs = 80_000;
const zone = "za";

/** A process that may be the steward. */
interface Holder {
    incarnation: string;
    gate: ProcessFaultInjector;
    stewardship: ZoneControllerCandidate;
}

/** One zone with three engines, two stewards that race, and the platform's table. */
class MemoryWorld {
    private readonly table: MemoryTable;
    private readonly engines: readonly SimulatedEngine[];
    private readonly holders: Holder[] = [];
    private readonly versions = modelNames.map(() => 1);
    private readonly demand = modelNames.map(() => 1);
    private readonly offered = modelNames.map(() => true);
    private readonly everResident = new Set<string>();
    private readonly network = FaultyOrderNetwork.create();
    private incarnations = 0;
    private restarts = 0;

    private constructor(private readonly clock: RunClock, private readonly checksFence: readonly boolean[], private readonly sabotage: DisabledSafeguards) {
        this.table = MemoryTable.create(!sabotage.ignoresConditions);
        this.engines = checksFence.map(checks =>
            SimulatedEngine.create({ memoryMiB: 100, slots: 4, checksFence: checks, modelLoadMs: 700, adapterLoadMs: 10 })
        );
        this.holders.push(this.startHolder("n0"), this.startHolder("n1"));
    }

    static create(clock: RunClock, checksFence: readonly boolean[], sabotage: DisabledSafeguards): MemoryWorld {
        return new MemoryWorld(clock, checksFence, sabotage);
    }

    async execute(operations: readonly Operation[]): Promise<void> {
        for (const drawn of operations) {
            this.begin(drawn);
            await this.pass(drawn.op === "wait" ? drawn.ms : roundMs);
        }
        Object.assign(this.table.faults, { down: false, loseAnswers: 0, loseCommits: 0 });
        this.network.clearFaults();
        await this.pass(settleMs);
        modelNames.forEach((name, at) => assert.ok(!this.offered[at] || this.isResident(at), `${name} is not reachable at the end`));
    }

    private startHolder(nodeId: string): Holder {
        const gate = ProcessFaultInjector.create();
        const incarnation = String(++this.incarnations);
        const stewardship = ZoneControllerCandidate.create(
            withProcessFaults(this.table, gate),
            { nodeId, incarnation, availabilityZone: zone },
            url => this.engineOf(url, gate),
            {
                weights: { copyRate: 4, moveCost: 1, maxSteps: 16 },
                drainDelayMs,
                orderLatenessMs: this.sabotage.ignoresLateness ? 0 : latenessMs,
                loadsAtOnce: 3,
            },
        );
        const holder = { incarnation, gate, stewardship };
        void this.loop(holder);
        return holder;
    }

    private async loop(holder: Holder): Promise<void> {
        for (;;) {
            await holder.gate.waitUntilRunning();
            await holder.stewardship.tick(holder === this.holders[0], () => this.inputs()).catch(() => undefined);
            await new Promise(resolve => setTimeout(resolve, roundMs));
        }
    }

    private inputs(): ZoneControllerInputs {
        const offers: Offer[] = modelNames.flatMap((model, at) =>
            this.offered[at]
                ? [{
                    artifact: `model:${model}@${this.versions[at]}`,
                    memoryMiB: modelSizesMiB[at]!,
                    deployment: "d",
                    minCopies: 1,
                    homeHolds: false,
                    demand: this.demand[at]!,
                }]
                : []
        );
        const runners = this.engines.map((engine, at) => ({
            vm: { id: `r${at}`, kind: VmKind.Runner, state: VmState.Live, availabilityZone: zone, url: String(at), group: "d" },
            report: engine.report(),
            leaving: false,
            cost: 1,
            checksFence: this.checksFence[at]!,
        }));
        return {
            offers,
            runners,
            isGone: holder => this.sabotage.assumesHoldersEnded === true || !this.holders.some(({ incarnation }, at) => holder === `n${at}/${incarnation}`),
        };
    }

    private engineOf(url: string, gate: ProcessFaultInjector): Engine {
        const engine = this.engines[Number(url)]!;
        return {
            generate: () => Promise.reject(new Error("not used")),
            report: async () => {
                await gate.waitUntilRunning();
                return engine.report();
            },
            order: async order => {
                const { restarts } = this;
                const answer = await this.network.deliver(order, gate, late => this.receive(engine, late, restarts));
                await gate.waitUntilRunning();
                return answer;
            },
        };
    }

    private receive(engine: SimulatedEngine, order: EngineOrder, restarts: number): OrderAnswer {
        const answer = engine.acceptOrder(order);
        if (restarts !== this.restarts) {
            // The copy on which the order relied was lost while it was on its way.
            this.everResident.clear();
        }
        return answer;
    }

    private begin(drawn: Operation): void {
        const handlers: { readonly [K in Operation["op"]]: (given: Extract<Operation, { op: K; }>) => void; } = {
            orders: ({ fault, count, delayMs }) => this.network.injectFault(fault, count, delayMs),
            freeze: ({ node, ms }) => this.holders[node]!.gate.suspend(ms),
            kill: ({ node }) => {
                this.holders[node]!.gate.kill();
                this.holders[node] = this.startHolder(`n${node}`);
            },
            table: ({ fault, ms }) => {
                Object.assign(this.table.faults, { [fault]: fault === "down" ? true : 2 });
                setTimeout(() => Object.assign(this.table.faults, { down: false }), ms);
            },
            restart: ({ runner }) => {
                this.engines[runner]!.restart();
                // What a restart takes away is not the system's doing.
                this.restarts++;
                this.everResident.clear();
            },
            version: ({ model }) => void this.versions[model]!++,
            demand: ({ model, rate }) => void (this.demand[model] = rate),
            withdraw: ({ model }) => {
                this.offered[model] = !this.offered[model];
                this.everResident.delete(modelNames[model]!);
            },
            wait: () => undefined,
        };
        (handlers[drawn.op] as (given: Operation) => void)(drawn);
    }

    private async pass(ms: number): Promise<void> {
        for (let passed = 0; passed < ms; passed += checkMs) {
            await this.clock.advance(checkMs);
            const violations = this.engines.flatMap(engine => engine.violations);
            assert.deepEqual(violations, []);
            modelNames.forEach((model, at) => this.offered[at] && this.isConfirmed(model) && this.everResident.add(model));
            this.assertReachable("passing time");
        }
    }

    /** A model that was resident once stays so while it is offered, in one version or another. */
    private assertReachable(when: string): void {
        modelNames.forEach((model, at) =>
            assert.ok(!this.offered[at] || !this.everResident.has(model) || this.isResident(at), `${model} lost its last copy: ${when}`)
        );
    }

    /** Whether the ledger confirms a copy: one that is on its way out by an earlier decision does not count. */
    private isConfirmed(model: string): boolean {
        return this.engines.some((engine, at) => {
            const row = this.table.rows.get(reservationKey(zone, `r${at}`))?.value as ReservationRow | undefined;
            return row?.entries.some(({ artifact, state }) =>
                artifact.startsWith(`model:${model}@`) && state === ReservationState.Resident && isReportedResident(engine.report(), artifact)
            );
        });
    }

    private isResident(model: number): boolean {
        return this.engines.some(engine =>
            engine.report().residencies.some(({ artifact, state }) => artifact.startsWith(`model:${modelNames[model]}@`) && state === ResidencyState.Resident)
        );
    }
}

/** Memory is never overcommitted, and the last copy of an offered model is never taken away. */
export const createMemoryRun = (checksFence: readonly boolean[], sabotage: DisabledSafeguards = {}): Run<Operation> => ({
    name: `memory, engines that ${checksFence.map(checks => checks ? "check" : "ignore").join(", ")} fencing numbers`,
    operationArbitrary: memoryOperationArbitrary,
    execute: async (operations, clock) => {
        const broken: string[] = [];
        const stop = observeEvents((event, fields) => {
            if (event > EventId.InvariantMemory - 1) {
                broken.push(`${EventId[event]} ${JSON.stringify(fields)}`);
            }
        });
        try {
            await MemoryWorld.create(clock, checksFence, sabotage).execute(operations);
        }
        finally {
            stop();
        }
        assert.deepEqual(broken, []);
    },
});
