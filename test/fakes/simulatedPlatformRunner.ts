import { FailureError } from "../../src/core/failures";
import { FailureKind } from "../../src/types/failureKind";
import { artifactKey } from "../../src/types/modelRequest";
import type { RunnerAddress, RunnerControl, RunnerOrder, RunnerReport } from "../../src/types/runner";
import { RunnerOrderAnswer, RunnerOrderKind } from "../../src/types/runner";
import type { EngineSpec } from "../../src/types/servingConfig";
import { Verdict } from "../../src/types/verdict";
import type { Random } from "../../src/utils/random";

/** Reports describe the runner this long ago. */
const reportLagMs = 200;
const latenessMs = { least: 2_000, most: 12_000 };
/** Longest time that the requests of a model that is unloaded go on. */
const drainMs = 1_500;

interface HeldModel {
    readonly adapters: Set<string>;
}

/** A runner that keeps books of what it is ordered to hold, and notes orders that would overcommit it. */
export class SimulatedPlatformRunner {
    readonly models = new Map<string, HeldModel>();
    readonly violations: string[] = [];
    /** Starts of loads from the weight store. */
    readonly storeLoads: number[] = [];
    acceptedOrders = 0;
    isBusy = false;
    bornAt = 1;
    private readonly onDisk = new Set<string>();
    private history: { readonly at: number; readonly report: RunnerReport; }[] = [];

    private constructor(readonly id: string, private readonly engine: EngineSpec, private readonly random: Random) {}

    static create(id: string, engine: EngineSpec, random: Random, models: readonly string[]): SimulatedPlatformRunner {
        const runner = new SimulatedPlatformRunner(id, engine, random);
        models.forEach(name => runner.models.set(name, { adapters: new Set() }));
        runner.note();
        return runner;
    }

    /** Starts again under the same ID, empty. */
    restart(): void {
        this.models.clear();
        this.acceptedOrders = 0;
        this.isBusy = false;
        this.bornAt++;
        this.history = [];
        this.note();
    }

    /** The report of some time ago. */
    report(): RunnerReport {
        const at = performance.now() - reportLagMs;
        return this.history.findLast(entry => entry.at <= at)?.report ?? this.history[0]!.report;
    }

    /** Carries an order out, as far as its count of accepted orders fits. */
    applyOrder(order: RunnerOrder): RunnerOrderAnswer {
        if (this.isBusy || order.expectedAcceptedOrders !== this.acceptedOrders) {
            return RunnerOrderAnswer.Conflict;
        }
        const answer = order.adapter === undefined ? this.takeModel(order) : this.takeAdapter(order, order.adapter);
        this.note();
        return answer;
    }

    usedMb(): number {
        return [...this.models].reduce((sum, [name, { adapters }]) => {
            const model = this.engine.models.get(name)!;
            return sum + model.memoryMb + adapters.size * model.adapterMemoryMb;
        }, 0);
    }

    private takeModel({ kind, model }: RunnerOrder): RunnerOrderAnswer {
        const spec = this.engine.models.get(model)!;
        this.acceptedOrders++;
        this.isBusy = true;
        const born = this.bornAt;
        const finish = (ms: number, change: () => void): void =>
            void setTimeout(() => {
                if (this.bornAt === born) {
                    change();
                    this.isBusy = false;
                    this.note();
                }
            }, ms);
        if (kind === RunnerOrderKind.Unload) {
            finish(this.random() * drainMs, () => this.models.delete(model));
            return RunnerOrderAnswer.Accepted;
        }
        if (!this.onDisk.has(model)) {
            this.storeLoads.push(performance.now());
        }
        if (this.usedMb() + spec.memoryMb > this.engine.memoryMb) {
            this.violations.push(`memory: ${model} beside ${[...this.models.keys()].join(" ")}`);
        }
        finish(this.onDisk.has(model) ? spec.diskLoadMs : spec.loadMs, () => {
            this.models.set(model, { adapters: new Set() });
            this.onDisk.add(model);
        });
        return RunnerOrderAnswer.Accepted;
    }

    private takeAdapter({ kind, model }: RunnerOrder, adapter: string): RunnerOrderAnswer {
        const held = this.models.get(model);
        if (!held) {
            return RunnerOrderAnswer.Invalid;
        }
        this.acceptedOrders++;
        if (kind === RunnerOrderKind.Load) {
            held.adapters.add(adapter);
            const places = [...this.models.values()].reduce((sum, { adapters }) => sum + adapters.size, 0);
            if (places > this.engine.adapterSlots) {
                this.violations.push(`places: ${artifactKey(model, adapter)}`);
            }
            return RunnerOrderAnswer.Accepted;
        }
        if (this.random() < 0.5) {
            held.adapters.delete(adapter);
            return RunnerOrderAnswer.Done;
        }
        // Its requests have to end first.
        setTimeout(() => {
            held.adapters.delete(adapter);
            this.note();
        }, this.random() * drainMs);
        return RunnerOrderAnswer.Accepted;
    }

    private note(): void {
        const models = [...this.models].map(([name, { adapters }]) => ({ name, version: 1, adapters: [...adapters] }));
        this.history.push({
            at: performance.now(),
            report: {
                models,
                inMemory: [],
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

/** Speaks with runners; answers may be lost, and an order without an answer may be carried out late. */
export class FaultyRunnerControl implements RunnerControl {
    lossShare = 0;
    /** Runners that answer nothing. */
    readonly unreachableRunners = new Set<string>();

    private constructor(private readonly runners: ReadonlyMap<string, SimulatedPlatformRunner>, private readonly random: Random) {}

    static create(runners: ReadonlyMap<string, SimulatedPlatformRunner>, random: Random): FaultyRunnerControl {
        return new FaultyRunnerControl(runners, random);
    }

    fetchReport({ id }: RunnerAddress): Promise<RunnerReport> {
        return this.unreachableRunners.has(id) ? this.lose() : Promise.resolve(this.runners.get(id)!.report());
    }

    order({ id }: RunnerAddress, order: RunnerOrder): Promise<RunnerOrderAnswer> {
        const runner = this.runners.get(id)!;
        if (this.unreachableRunners.has(id)) {
            return this.lose();
        }
        if (this.random() >= this.lossShare) {
            return Promise.resolve(runner.applyOrder(order));
        }
        const lateMs = latenessMs.least + this.random() * (latenessMs.most - latenessMs.least);
        setTimeout(() => runner.applyOrder(order), lateMs);
        return this.lose();
    }

    private lose(): Promise<never> {
        return Promise.reject(FailureError.create({ kind: FailureKind.UpstreamLost, verdict: Verdict.MayHaveRun, detail: "no answer" }));
    }
}
