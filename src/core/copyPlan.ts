import type { ModelSpec } from "../types/servingConfig";
import { getOrCreate } from "../utils/maps";
import { holdsOrLoads, isUsable, serves } from "./copies";
import { CopyNeeds } from "./copyNeeds";
import type { CopyPlanInputs } from "./copyPlanInputs";
import type { CopyOption, CopyStep } from "./copyStep";
import { toStep } from "./copyStep";
import { FirstCopyValues } from "./firstCopyValues";
import { loadCost } from "./loadCost";
import { queueCost } from "./queueCost";
import type { RunnerTracker } from "./runnerTracker";
import { busyUnloadCost, estimateUnloadMs } from "./unloadTime";
import { victimSets } from "./victimSets";

/** Cost of the prompt cache that is lost with a copy, times the copy's load as a share of a runner's time. */
const lostCacheCost = 0.3;
/** Maximum number of copies of one model that a round adds. */
const maxCopiesAtOnce = 4;
/** Minimum advantage of a load over its costs. */
const minAdvantage = 0.06;

/**
 * Chooses loads and unloads by their advantage: first copies of awaited models, and further copies that even out the
 * runners' utilisation. Follows shifts of demand between models, and bursts of demand for one.
 */
export class CopyPlan {
    private readonly trackersByModel = new Map<string, Set<RunnerTracker>>();
    private readonly utilisation = new Map<RunnerTracker, number>();
    private readonly loads = new Map<string, number>();
    private readonly usedMb = new Map<RunnerTracker, number>();
    private readonly usable: readonly RunnerTracker[];
    /** Runners with a planned load. */
    private readonly plannedTrackers = new Set<RunnerTracker>();
    private readonly needs: CopyNeeds;
    private readonly firstCopies: FirstCopyValues;

    private constructor(private readonly inputs: CopyPlanInputs) {
        this.usable = inputs.trackers.filter(isUsable);
        this.needs = CopyNeeds.create(inputs.needs);
        [...inputs.engine.models.keys()].forEach(model => this.trackersByModel.set(model, new Set()));
        for (const tracker of this.usable) {
            tracker.possibleModels().filter(model => holdsOrLoads(tracker, model)).forEach(model => this.trackersByModel.get(model)?.add(tracker));
            this.utilisation.set(tracker, 0);
            this.usedMb.set(tracker, tracker.usedMb(inputs.engine));
        }
        for (const [runner, model] of inputs.plannedLoads) {
            const tracker = this.usable.find(({ server }) => server.id === runner);
            if (tracker) {
                this.plannedTrackers.add(tracker);
                this.trackersByModel.get(model)?.add(tracker);
            }
        }
        for (const [model, trackers] of this.trackersByModel) {
            trackers.forEach(tracker => this.addLoad(tracker, this.loadOf(model) / trackers.size));
        }
        const heldModels = [...this.trackersByModel.keys()].filter(model => this.copyCount(model) > 0);
        this.firstCopies = FirstCopyValues.create(inputs, model => this.loadOf(model), this.usable.length, heldModels);
    }

    /** Creates a plan for the present state; it does not follow later changes. */
    static create(inputs: CopyPlanInputs): CopyPlan {
        return new CopyPlan(inputs);
    }

    /** Orders to send now, at most one to each runner. */
    steps(): readonly CopyStep[] {
        const steps: CopyStep[] = [];
        const chosen = new Set<RunnerTracker>(this.plannedTrackers);
        const isAnyFree = this.usable.some(tracker => tracker.canOrder && !chosen.has(tracker));
        for (const model of isAnyFree ? this.modelsByUrgency() : []) {
            for (let copies = 0; copies < maxCopiesAtOnce; copies++) {
                const best = this.bestOption(model, chosen) ?? this.optionBesidePlan(model, chosen);
                if (!best) {
                    break;
                }
                chosen.add(best.tracker);
                steps.push(toStep(model, best));
                best.victims.forEach(victim => this.changeRunners(victim, trackers => trackers.delete(best.tracker)));
                this.changeRunners(model.name, trackers => trackers.add(best.tracker));
            }
        }
        return steps;
    }

    /** The next order for a model on a runner that an earlier plan chose for it, undefined if the load is no longer of advantage. */
    stepFor(model: ModelSpec, tracker: RunnerTracker): CopyStep | undefined {
        this.changeRunners(model.name, trackers => trackers.delete(tracker));
        const option = this.optionAt(model, tracker, 0);
        this.changeRunners(model.name, trackers => trackers.add(tracker));
        return option && toStep(model, option);
    }

    /** Models with demand or waiting requests, in descending order of what their callers lose. */
    private modelsByUrgency(): readonly ModelSpec[] {
        const urgencies = new Map<ModelSpec, number>();
        for (const model of this.inputs.engine.models.values()) {
            const load = this.loadOf(model.name);
            const needed = this.needs.has(model.name) ? this.needs.maxGain(model.name, this.presentHoldersOf(model.name)) : 0;
            if (load > 0 || this.inputs.awaitedModels.has(model.name) || needed > 0) {
                const copyCount = this.copyCount(model.name);
                const own = copyCount === 0 ? this.firstCopies.urgencyOf(model.name) : copyCount * queueCost(load / copyCount);
                urgencies.set(model, needed + own);
            }
        }
        return [...urgencies.keys()].sort((a, b) => urgencies.get(b)! - urgencies.get(a)!);
    }

    private loadOf(model: string): number {
        return getOrCreate(this.loads, model, () => this.inputs.demand.loadOf(model));
    }

    /** Usable runners that have a model, are loading it or will. */
    private holdersOf(model: string): ReadonlySet<RunnerTracker> {
        return this.trackersByModel.get(model) ?? new Set();
    }

    /** Those that have a model or are loading it. */
    private presentHoldersOf(model: string): readonly RunnerTracker[] {
        return [...this.holdersOf(model)].filter(tracker => !this.plannedTrackers.has(tracker) || holdsOrLoads(tracker, model));
    }

    private copyCount(model: string): number {
        return this.holdersOf(model).size;
    }

    private addLoad(tracker: RunnerTracker, load: number): void {
        this.utilisation.set(tracker, (this.utilisation.get(tracker) ?? 0) + load);
    }

    /** Changes the set of runners with a model and redistributes the model's load over them. */
    private changeRunners(model: string, change: (trackers: Set<RunnerTracker>) => void): void {
        const trackers = this.trackersByModel.get(model);
        if (trackers) {
            trackers.forEach(tracker => this.addLoad(tracker, -this.loadOf(model) / trackers.size));
            change(trackers);
            trackers.forEach(tracker => this.addLoad(tracker, this.loadOf(model) / trackers.size));
        }
    }

    /** The best option to load a model on any runner, if its advantage exceeds the minimum. */
    private bestOption(model: ModelSpec, chosen: ReadonlySet<RunnerTracker>): CopyOption | undefined {
        const ownGain = this.maxOwnGain(model.name);
        const added = this.loadOf(model.name) / (this.copyCount(model.name) + 1);
        let best: CopyOption | undefined;
        if (ownGain + this.needs.maxGain(model.name, this.holdersOf(model.name)) < minAdvantage) {
            return undefined;
        }
        for (const tracker of this.usable.filter(usable => usable.canOrder && !chosen.has(usable))) {
            const maxAdvantage = ownGain + this.maxNetNeed(model, tracker, added);
            if (maxAdvantage < minAdvantage || (best && maxAdvantage - this.delayCost(model, tracker, []) < best.rank)) {
                continue;
            }
            const option = this.optionAt(model, tracker, minAdvantage);
            if (option && (!best || option.rank > best.rank)) {
                best = option;
            }
        }
        return best;
    }

    /** A load of a model that requests wait for at a runner with room, while its planned copy waits for memory: that may take as long as the streams there last. */
    private optionBesidePlan(model: ModelSpec, chosen: ReadonlySet<RunnerTracker>): CopyOption | undefined {
        if (!this.needs.hasWaiting(model.name)) {
            return undefined;
        }
        const present = new Set(this.presentHoldersOf(model.name));
        const planned = [...this.holdersOf(model.name)].filter(tracker => !present.has(tracker));
        if (!planned.some(tracker => this.needs.isAwaited(model.name, tracker, present))) {
            return undefined;
        }
        planned.forEach(tracker => this.changeRunners(model.name, trackers => trackers.delete(tracker)));
        const option = this.bestOption(model, chosen);
        planned.forEach(tracker => this.changeRunners(model.name, trackers => trackers.add(tracker)));
        return option?.victims.length === 0 && this.needs.isAwaited(model.name, option.tracker, present) ? option : undefined;
    }

    /** Upper bound of the gain of a further copy of a model, beside needs: the queueing cost that its other runners save, or the value of a first copy. */
    private maxOwnGain(model: string): number {
        const copyCount = this.copyCount(model);
        if (copyCount === 0) {
            return this.firstCopies.of(model);
        }
        const relief = this.loadOf(model) / copyCount - this.loadOf(model) / (copyCount + 1);
        let gain = 0;
        this.trackersByModel.get(model)!.forEach(tracker => {
            const current = this.utilisation.get(tracker) ?? 0;
            gain += queueCost(current) - queueCost(current - relief);
        });
        return gain;
    }

    /** Upper bound of what a copy at a runner is worth for needs, less what it costs there in any case; `added` is the load that it takes over. */
    private maxNetNeed(model: ModelSpec, tracker: RunnerTracker, added: number): number {
        const minAddedQueueCost = queueCost(added) - queueCost(this.utilisation.get(tracker) ?? 0);
        const gain = this.needs.gainAt(model.name, tracker, this.holdersOf(model.name));
        return gain > 0 ? gain - loadCost(model, tracker) - minAddedQueueCost : -minAddedQueueCost;
    }

    /** The best option to load a model on a runner, undefined if none has an advantage over `least`. */
    private optionAt(model: ModelSpec, tracker: RunnerTracker, least: number): CopyOption | undefined {
        const { engine, mayLoadFromWeightStore } = this.inputs;
        if (holdsOrLoads(tracker, model.name) || (tracker.loadsFromWeightStore(model.name) && !mayLoadFromWeightStore)) {
            return undefined;
        }
        const missingMb = this.usedMb.get(tracker)! + model.memoryMb - engine.memoryMb;
        let best: CopyOption | undefined;
        for (const victims of victimSets(tracker, missingMb, engine, name => this.loadOf(name))) {
            const advantage = this.advantage(model, tracker, victims);
            const rank = advantage > least ? advantage - this.delayCost(model, tracker, victims) : Number.NEGATIVE_INFINITY;
            if (rank > (best?.rank ?? Number.NEGATIVE_INFINITY)) {
                best = { tracker, victims, advantage, rank };
            }
        }
        return best;
    }

    /** What waiting requests lose until a copy at a runner serves; least without victims. */
    private delayCost(model: ModelSpec, tracker: RunnerTracker, victims: readonly string[]): number {
        const readyMs = estimateUnloadMs(victims, this.inputs.demand) + tracker.loadMs(model);
        return this.needs.delayCost(model.name, tracker, readyMs, this.holdersOf(model.name));
    }

    private advantage(model: ModelSpec, tracker: RunnerTracker, victims: readonly string[]): number {
        const changes = new Map<RunnerTracker, number>();
        const change = (target: RunnerTracker, load: number): void => void changes.set(target, (changes.get(target) ?? 0) + load);
        const copyCount = this.copyCount(model.name);
        const load = this.loadOf(model.name);
        this.trackersByModel.get(model.name)!.forEach(other => change(other, load / (copyCount + 1) - load / copyCount));
        change(tracker, load / (copyCount + 1));
        let loss = 0;
        for (const victim of victims) {
            const copiesBefore = this.copyCount(victim);
            const isLastServing = ![...this.holdersOf(victim)].some(other => other !== tracker && serves(other, victim));
            const victimLoad = this.loadOf(victim);
            loss += busyUnloadCost(this.inputs.demand.idleMs(victim));
            loss += lostCacheCost * victimLoad / Math.max(1, copiesBefore) + (isLastServing ? this.firstCopies.lossOf(victim) : 0);
            loss += this.needs.lossAt(victim, tracker, this.holdersOf(victim));
            this.trackersByModel.get(victim)?.forEach(other =>
                change(other, other === tracker ? -victimLoad / copiesBefore : victimLoad / (copiesBefore - 1) - victimLoad / copiesBefore)
            );
        }
        const gain = (copyCount === 0 ? this.firstCopies.of(model.name) : 0) + this.needs.gainAt(model.name, tracker, this.holdersOf(model.name));
        let queueCostChange = 0;
        changes.forEach((delta, target) => {
            const current = this.utilisation.get(target) ?? 0;
            queueCostChange += queueCost(current + delta) - queueCost(current);
        });
        return gain - loss - queueCostChange - loadCost(model, tracker);
    }
}
