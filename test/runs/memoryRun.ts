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
const roundIntervalMs = 500;
const checkIntervalMs = 250;
const settleMs = 80_000;
const zone = "za";

/** A process that may become the zone controller. */
interface ControllerProcess {
    incarnation: string;
    processFaults: ProcessFaultInjector;
    candidate: ZoneControllerCandidate;
}

/** One zone with three engines, two processes that compete to be its zone controller, and their shared table. */
class MemorySimulation {
    private readonly table: MemoryTable;
    private readonly engines: readonly SimulatedEngine[];
    private readonly controllers: ControllerProcess[] = [];
    private readonly versions = modelNames.map(() => 1);
    private readonly demand = modelNames.map(() => 1);
    private readonly offered = modelNames.map(() => true);
    private readonly confirmedModels = new Set<string>();
    private readonly network = FaultyOrderNetwork.create();
    private incarnationCount = 0;
    private restartCount = 0;

    private constructor(
        private readonly clock: RunClock,
        private readonly checksFence: readonly boolean[],
        private readonly disabledSafeguards: DisabledSafeguards,
    ) {
        this.table = MemoryTable.create(!disabledSafeguards.ignoresConditions);
        this.engines = checksFence.map(engineChecksFence =>
            SimulatedEngine.create({ memoryMiB: 100, slots: 4, checksFence: engineChecksFence, modelLoadMs: 700, adapterLoadMs: 10 })
        );
        this.controllers.push(this.startController("n0"), this.startController("n1"));
    }

    static create(clock: RunClock, checksFence: readonly boolean[], disabledSafeguards: DisabledSafeguards): MemorySimulation {
        return new MemorySimulation(clock, checksFence, disabledSafeguards);
    }

    async execute(operations: readonly Operation[]): Promise<void> {
        for (const operation of operations) {
            this.startOperation(operation);
            await this.advance(operation.op === "wait" ? operation.ms : roundIntervalMs);
        }
        Object.assign(this.table.faults, { down: false, loseAnswers: 0, loseCommits: 0 });
        this.network.clearFaults();
        await this.advance(settleMs);
        modelNames.forEach((name, index) =>
            assert.ok(!this.offered[index] || this.hasResidentCopy(index), `${name} is offered but has no resident copy at the end of the run`)
        );
    }

    private startController(nodeId: string): ControllerProcess {
        const processFaults = ProcessFaultInjector.create();
        const incarnation = String(++this.incarnationCount);
        const candidate = ZoneControllerCandidate.create(
            withProcessFaults(this.table, processFaults),
            { nodeId, incarnation, availabilityZone: zone },
            url => this.createEngine(url, processFaults),
            {
                weights: { copyRate: 4, moveCost: 1, maxSteps: 16 },
                drainDelayMs,
                orderLatenessMs: this.disabledSafeguards.ignoresLateness ? 0 : latenessMs,
                loadsAtOnce: 3,
            },
        );
        const controller = { incarnation, processFaults, candidate };
        void this.runRounds(controller);
        return controller;
    }

    private async runRounds(controller: ControllerProcess): Promise<void> {
        for (;;) {
            await controller.processFaults.waitUntilRunning();
            await controller.candidate.tick(controller === this.controllers[0], () => this.inputs()).catch(() => undefined);
            await new Promise(resolve => setTimeout(resolve, roundIntervalMs));
        }
    }

    private inputs(): ZoneControllerInputs {
        const offers: Offer[] = modelNames.flatMap((model, index) =>
            this.offered[index]
                ? [{
                    artifact: `model:${model}@${this.versions[index]}`,
                    memoryMiB: modelSizesMiB[index]!,
                    deployment: "d",
                    minCopies: 1,
                    homeHolds: false,
                    demand: this.demand[index]!,
                }]
                : []
        );
        const runners = this.engines.map((engine, index) => ({
            vm: { id: `r${index}`, kind: VmKind.Runner, state: VmState.Live, availabilityZone: zone, url: String(index), group: "d" },
            report: engine.report(),
            leaving: false,
            cost: 1,
            checksFence: this.checksFence[index]!,
        }));
        return {
            offers,
            runners,
            isGone: leaseHolder =>
                this.disabledSafeguards.assumesHoldersEnded === true ||
                !this.controllers.some(({ incarnation }, index) => leaseHolder === `n${index}/${incarnation}`),
        };
    }

    private createEngine(url: string, processFaults: ProcessFaultInjector): Engine {
        const engine = this.engines[Number(url)]!;
        return {
            generate: () => Promise.reject(new Error("not used")),
            report: async () => {
                await processFaults.waitUntilRunning();
                return engine.report();
            },
            order: async order => {
                const { restartCount } = this;
                const answer = await this.network.deliver(order, processFaults, delivered => this.receive(engine, delivered, restartCount));
                await processFaults.waitUntilRunning();
                return answer;
            },
        };
    }

    private receive(engine: SimulatedEngine, order: EngineOrder, restartCount: number): OrderAnswer {
        const answer = engine.acceptOrder(order);
        if (restartCount !== this.restartCount) {
            // An engine restarted while the order was in flight, so the copies that the order relied on may be lost.
            this.confirmedModels.clear();
        }
        return answer;
    }

    private startOperation(operation: Operation): void {
        const handlers: { readonly [K in Operation["op"]]: (given: Extract<Operation, { op: K; }>) => void; } = {
            orders: ({ fault, count, delayMs }) => this.network.injectFault(fault, count, delayMs),
            freeze: ({ node, ms }) => this.controllers[node]!.processFaults.suspend(ms),
            kill: ({ node }) => {
                this.controllers[node]!.processFaults.kill();
                this.controllers[node] = this.startController(`n${node}`);
            },
            table: ({ fault, ms }) => {
                Object.assign(this.table.faults, { [fault]: fault === "down" ? true : 2 });
                setTimeout(() => Object.assign(this.table.faults, { down: false }), ms);
            },
            restart: ({ runner }) => {
                this.engines[runner]!.restart();
                // Copies lost in an engine restart were not removed by the zone controller.
                this.restartCount++;
                this.confirmedModels.clear();
            },
            version: ({ model }) => void this.versions[model]!++,
            demand: ({ model, rate }) => void (this.demand[model] = rate),
            withdraw: ({ model }) => {
                this.offered[model] = !this.offered[model];
                this.confirmedModels.delete(modelNames[model]!);
            },
            wait: () => undefined,
        };
        (handlers[operation.op] as (given: Operation) => void)(operation);
    }

    private async advance(ms: number): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += checkIntervalMs) {
            await this.clock.advance(checkIntervalMs);
            const violations = this.engines.flatMap(engine => engine.violations);
            assert.deepEqual(violations, []);
            modelNames.forEach((model, index) => this.offered[index] && this.hasConfirmedCopy(model) && this.confirmedModels.add(model));
            this.assertNoLastCopyLost("time advanced");
        }
    }

    /** Asserts that a model of which a copy was confirmed once has a resident copy, of any version, as long as it is offered. */
    private assertNoLastCopyLost(when: string): void {
        modelNames.forEach((model, index) =>
            assert.ok(!this.offered[index] || !this.confirmedModels.has(model) || this.hasResidentCopy(index), `${model} lost its last copy while ${when}`)
        );
    }

    /** Whether a reservation confirms a copy; a copy that an earlier decision drains or unloads does not count. */
    private hasConfirmedCopy(model: string): boolean {
        return this.engines.some((engine, index) => {
            const row = this.table.rows.get(reservationKey(zone, `r${index}`))?.value as ReservationRow | undefined;
            return row?.entries.some(({ artifact, state }) =>
                artifact.startsWith(`model:${model}@`) && state === ReservationState.Resident && isReportedResident(engine.report(), artifact)
            );
        });
    }

    private hasResidentCopy(model: number): boolean {
        return this.engines.some(engine =>
            engine.report().residencies.some(({ artifact, state }) => artifact.startsWith(`model:${modelNames[model]}@`) && state === ResidencyState.Resident)
        );
    }
}

/** Memory is never overcommitted, and the last copy of an offered model is never removed. */
export const createMemoryRun = (checksFence: readonly boolean[], disabledSafeguards: DisabledSafeguards = {}): Run<Operation> => ({
    name: `memory, engines that ${checksFence.map(checks => checks ? "check" : "ignore").join(", ")} fencing numbers`,
    operationArbitrary: memoryOperationArbitrary,
    execute: async (operations, clock) => {
        const brokenInvariants: string[] = [];
        const stopObserving = observeEvents((event, fields) => {
            if (event > EventId.InvariantMemory - 1) {
                brokenInvariants.push(`${EventId[event]} ${JSON.stringify(fields)}`);
            }
        });
        try {
            await MemorySimulation.create(clock, checksFence, disabledSafeguards).execute(operations);
        }
        finally {
            stopObserving();
        }
        assert.deepEqual(brokenInvariants, []);
    },
});
