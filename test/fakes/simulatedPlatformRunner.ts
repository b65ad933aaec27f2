import { FailureError } from "../../src/core/failures";
import { FailureKind } from "../../src/types/failureKind";
import { artifactKey } from "../../src/types/modelRequest";
import type { RunnerAddress, RunnerControl, RunnerOrder, RunnerReport } from "../../src/types/runner";
import { RunnerOrderAnswer, RunnerOrderKind } from "../../src/types/runner";
import type { EngineSpec } from "../../src/types/servingConfig";
import { Verdict } from "../../src/types/verdict";
import type { Random } from "../../src/utils/random";

/** Age of the state that a report describes. */
const reportLagMs = 200;
/** Longest time that requests in flight delay the unload of their model or adapter. */
const maxDrainMs = 1_500;

interface LoadedModel {
    readonly adapters: Set<string>;
}

/** Room for weights that a runner keeps beside its accelerators; the least recently loaded ones make room for others. */
export interface StoredWeights {
    readonly hostMemoryMb: number;
    readonly diskMb: number;
}

/** State of a runner of the platform: carries out orders to load and unload, and records a violation when one overcommits the runner. */
export class SimulatedPlatformRunner {
    readonly models = new Map<string, LoadedModel>();
    readonly violations: string[] = [];
    /** Start times of loads from the weight store. */
    readonly storeLoads: number[] = [];
    acceptedOrders = 0;
    isBusy = false;
    bornAt = 1;
    /** In the order of their last loads. */
    private readonly onDisk = new Set<string>();
    private readonly inMemory = new Set<string>();
    private reportHistory: { readonly at: number; readonly report: RunnerReport; }[] = [];

    private constructor(readonly id: string, private readonly engine: EngineSpec, private readonly random: Random, private readonly stored?: StoredWeights) {}

    /** Creates a runner that holds some models; without `stored` it keeps all weights on its disk, and none in host memory. */
    static create(id: string, engine: EngineSpec, random: Random, models: readonly string[], stored?: StoredWeights): SimulatedPlatformRunner {
        const runner = new SimulatedPlatformRunner(id, engine, random, stored);
        models.forEach(name => runner.models.set(name, { adapters: new Set() }));
        if (stored) {
            models.forEach(name => runner.keepWeights(name));
        }
        runner.recordReport();
        return runner;
    }

    /** Restarts under the same ID, without any models in memory. */
    restart(): void {
        this.models.clear();
        this.acceptedOrders = 0;
        this.isBusy = false;
        this.bornAt++;
        this.reportHistory = [];
        this.recordReport();
    }

    /** Reports the state of `reportLagMs` ago. */
    report(): RunnerReport {
        const at = performance.now() - reportLagMs;
        return this.reportHistory.findLast(entry => entry.at <= at)?.report ?? this.reportHistory[0]!.report;
    }

    /** Carries an order out if the runner is not busy and the order expects its current count of accepted orders. */
    applyOrder(order: RunnerOrder): RunnerOrderAnswer {
        if (this.isBusy || order.expectedAcceptedOrders !== this.acceptedOrders) {
            return RunnerOrderAnswer.Conflict;
        }
        const answer = order.adapter === undefined ? this.applyModelOrder(order) : this.applyAdapterOrder(order, order.adapter);
        this.recordReport();
        return answer;
    }

    usedMb(): number {
        return [...this.models].reduce((sum, [name, { adapters }]) => {
            const model = this.engine.models.get(name)!;
            return sum + model.memoryMb + adapters.size * model.adapterMemoryMb;
        }, 0);
    }

    private applyModelOrder({ kind, model }: RunnerOrder): RunnerOrderAnswer {
        const spec = this.engine.models.get(model)!;
        this.acceptedOrders++;
        this.isBusy = true;
        const bornAtStart = this.bornAt;
        const completeAfter = (ms: number, change: () => void): void =>
            void setTimeout(() => {
                if (this.bornAt === bornAtStart) {
                    change();
                    this.isBusy = false;
                    this.recordReport();
                }
            }, ms);
        if (kind === RunnerOrderKind.Unload) {
            completeAfter(this.random() * maxDrainMs, () => this.models.delete(model));
            return RunnerOrderAnswer.Accepted;
        }
        if (!this.onDisk.has(model)) {
            this.storeLoads.push(performance.now());
        }
        if (this.usedMb() + spec.memoryMb > this.engine.memoryMb) {
            this.violations.push(`memory overcommitted by the load of ${model} beside ${[...this.models.keys()].join(" ")}`);
        }
        completeAfter(this.inMemory.has(model) ? spec.warmLoadMs : this.onDisk.has(model) ? spec.diskLoadMs : spec.loadMs, () => {
            this.models.set(model, { adapters: new Set() });
            this.keepWeights(model);
        });
        return RunnerOrderAnswer.Accepted;
    }

    private keepWeights(model: string): void {
        const keepIn = (held: Set<string>, limitMb: number): void => {
            held.delete(model);
            held.add(model);
            const usedMb = (): number => [...held].reduce((sum, name) => sum + this.engine.models.get(name)!.memoryMb, 0);
            for (const oldest of held) {
                if (usedMb() <= limitMb) {
                    return;
                }
                held.delete(oldest);
            }
        };
        keepIn(this.onDisk, this.stored?.diskMb ?? Number.POSITIVE_INFINITY);
        if (this.stored) {
            keepIn(this.inMemory, this.stored.hostMemoryMb);
        }
    }

    private applyAdapterOrder({ kind, model }: RunnerOrder, adapter: string): RunnerOrderAnswer {
        const loadedModel = this.models.get(model);
        if (!loadedModel) {
            return RunnerOrderAnswer.Invalid;
        }
        this.acceptedOrders++;
        if (kind === RunnerOrderKind.Load) {
            loadedModel.adapters.add(adapter);
            const adapterCount = [...this.models.values()].reduce((sum, { adapters }) => sum + adapters.size, 0);
            if (adapterCount > this.engine.adapterSlots) {
                this.violations.push(`adapter slots overcommitted by the load of ${artifactKey(model, adapter)}`);
            }
            return RunnerOrderAnswer.Accepted;
        }
        if (this.random() < 0.5) {
            loadedModel.adapters.delete(adapter);
            return RunnerOrderAnswer.Done;
        }
        // The unload waits until requests in flight have ended.
        setTimeout(() => {
            loadedModel.adapters.delete(adapter);
            this.recordReport();
        }, this.random() * maxDrainMs);
        return RunnerOrderAnswer.Accepted;
    }

    private recordReport(): void {
        const models = [...this.models].map(([name, { adapters }]) => ({ name, version: 1, adapters: [...adapters] }));
        this.reportHistory.push({
            at: performance.now(),
            report: {
                models,
                inMemory: [...this.inMemory],
                onDisk: [...this.onDisk],
                loadingAdapters: [],
                isBusy: this.isBusy,
                acceptedOrders: this.acceptedOrders,
                queued: 0,
                active: 0,
                bornAt: this.bornAt,
            },
        });
    }
}

/** Client of simulated runners. Answers may be lost; an order whose answer was lost is carried out late. */
export class FaultyRunnerControl implements RunnerControl {
    lossShare = 0;
    /** Shortest and longest delay of an order whose answer is lost. */
    lateOrderMs = { min: 2_000, max: 12_000 };
    /** IDs of the runners that do not answer. */
    readonly unreachableRunners = new Set<string>();

    private constructor(private readonly runners: ReadonlyMap<string, SimulatedPlatformRunner>, private readonly random: Random) {}

    static create(runners: ReadonlyMap<string, SimulatedPlatformRunner>, random: Random): FaultyRunnerControl {
        return new FaultyRunnerControl(runners, random);
    }

    fetchReport({ id }: RunnerAddress): Promise<RunnerReport> {
        return this.unreachableRunners.has(id) ? this.rejectWithLostAnswer() : Promise.resolve(this.runners.get(id)!.report());
    }

    order({ id }: RunnerAddress, order: RunnerOrder): Promise<RunnerOrderAnswer> {
        const runner = this.runners.get(id)!;
        if (this.unreachableRunners.has(id)) {
            return this.rejectWithLostAnswer();
        }
        if (this.random() >= this.lossShare) {
            return Promise.resolve(runner.applyOrder(order));
        }
        const { min, max } = this.lateOrderMs;
        const delayMs = min + this.random() * (max - min);
        setTimeout(() => runner.applyOrder(order), delayMs);
        return this.rejectWithLostAnswer();
    }

    private rejectWithLostAnswer(): Promise<never> {
        return Promise.reject(FailureError.create({ kind: FailureKind.UpstreamLost, verdict: Verdict.MayHaveRun, detail: "the runner's answer was lost" }));
    }
}
