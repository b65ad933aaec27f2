import type { EngineSpec, ModelSpec } from "../types/servingConfig";
import { holdsOrLoads, isUsable, serves } from "./copies";
import type { CopyOption, CopyStep } from "./copyStep";
import { toStep } from "./copyStep";
import type { ModelDemand } from "./modelDemand";
import { queueCost, valuePerRunner } from "./queueCost";
import type { RunnerTracker } from "./runnerTracker";

/** Worth a second of a first copy of a model that callers wait for, and of one that they may ask for at any time. */
const wantedWorth = 1;
const offeredWorth = 0.15;
/** What a load costs, for each second that it takes, and if it draws on the weight store. */
const loadCostPerS = 0.03;
const storeLoadCost = 0.08;
/** What a copy loses with the prompts that it keeps, for each share of a runner's time that it serves. */
const droppedCacheCost = 0.3;
/** An unload waits for the model's requests and blocks the runner meanwhile; this is its cost just after a request. */
const busyVictimCost = 0.4;
const busyVictimHalfLifeMs = 2_500;
/** A model that is asked for stays at least this long after its load. */
const minHeldMs = 4_000;
/** Least advantage of a move. */
const leastAdvantage = 0.06;

/** What the plan is made from. */
export interface CopyPlanInputs {
    readonly engine: EngineSpec;
    readonly trackers: readonly RunnerTracker[];
    readonly demand: ModelDemand;
    /** Models that requests wait for now. */
    readonly awaitedModels: ReadonlySet<string>;
    /** Whether a load from the weight store may begin. */
    readonly mayLoadFromWeightStore: boolean;
}

/**
 * Chooses loads and unloads by what they win: first copies of wanted models, and further copies that level the runners'
 * utilisation. Answers shifts of demand between models, and bursts of one.
 */
export class CopyPlan {
    private readonly holders = new Map<string, Set<RunnerTracker>>();
    private readonly utilisation = new Map<RunnerTracker, number>();
    private readonly usedMb = new Map<RunnerTracker, number>();
    private readonly usable: readonly RunnerTracker[];

    private constructor(private readonly inputs: CopyPlanInputs) {
        this.usable = inputs.trackers.filter(isUsable);
        [...inputs.engine.models.keys()].forEach(model => this.holders.set(model, new Set()));
        for (const book of this.usable) {
            book.possibleModels().filter(model => holdsOrLoads(book, model)).forEach(model => this.holders.get(model)?.add(book));
            this.utilisation.set(book, 0);
            this.usedMb.set(book, book.usedMb(inputs.engine));
        }
        for (const [model, books] of this.holders) {
            books.forEach(book => this.addLoad(book, this.load(model) / books.size));
        }
    }

    /** Plans for the state of one moment. */
    static create(inputs: CopyPlanInputs): CopyPlan {
        return new CopyPlan(inputs);
    }

    /** Orders to send now, at most one for each runner. */
    steps(): readonly CopyStep[] {
        const steps: CopyStep[] = [];
        const taken = new Set<RunnerTracker>();
        for (const model of this.needs()) {
            const best = this.bestOption(model, taken);
            if (!best) {
                continue;
            }
            taken.add(best.tracker);
            steps.push(toStep(model, best));
            best.victims.forEach(victim => this.move(victim, book => book.delete(best.tracker)));
            this.move(model.name, books => books.add(best.tracker));
        }
        return steps;
    }

    /** The step that brings one model to one runner that was chosen for it before. */
    stepFor(model: ModelSpec, book: RunnerTracker): CopyStep | undefined {
        const option = this.optionAt(model, book);
        return option && toStep(model, option);
    }

    /** Models that are asked for, those whose callers lose most first. */
    private needs(): readonly ModelSpec[] {
        const urgency = (name: string): number => {
            const copies = this.copies(name);
            return copies === 0 ? this.missingCost(name) : copies * queueCost(this.load(name) / copies);
        };
        return [...this.inputs.engine.models.values()]
            .filter(({ name }) => this.load(name) > 0 || this.inputs.awaitedModels.has(name))
            .sort((a, b) => urgency(b.name) - urgency(a.name));
    }

    private load(model: string): number {
        return this.inputs.demand.loadOf(model);
    }

    private copies(model: string): number {
        return this.holders.get(model)?.size ?? 0;
    }

    private missingCost(model: string): number {
        return (this.inputs.awaitedModels.has(model) ? wantedWorth : 0) + offeredWorth + valuePerRunner * this.load(model);
    }

    private addLoad(book: RunnerTracker, load: number): void {
        this.utilisation.set(book, (this.utilisation.get(book) ?? 0) + load);
    }

    /** Changes a model's holders and spreads its load anew. */
    private move(model: string, change: (books: Set<RunnerTracker>) => void): void {
        const books = this.holders.get(model);
        if (books) {
            books.forEach(book => this.addLoad(book, -this.load(model) / books.size));
            change(books);
            books.forEach(book => this.addLoad(book, this.load(model) / books.size));
        }
    }

    /** The best way to bring a model to any runner, if it is worth a move. */
    private bestOption(model: ModelSpec, taken: ReadonlySet<RunnerTracker>): CopyOption | undefined {
        const mostWon = this.mostWon(model.name);
        const added = this.load(model.name) / (this.copies(model.name) + 1);
        let best: CopyOption | undefined;
        let bestAdvantage = leastAdvantage;
        if (mostWon < bestAdvantage) {
            return undefined;
        }
        for (const book of this.usable) {
            if (taken.has(book) || !book.canOrder || mostWon - this.leastCost(book, added) < bestAdvantage) {
                continue;
            }
            const option = this.optionAt(model, book);
            if (option && option.advantage > bestAdvantage) {
                best = option;
                bestAdvantage = option.advantage;
            }
        }
        return best;
    }

    /** What a further copy of a model can win at most: the load that its other runners are rid of, and the worth of a first copy. */
    private mostWon(model: string): number {
        const copies = this.copies(model);
        if (copies === 0) {
            return this.missingCost(model);
        }
        const relief = this.load(model) / copies - this.load(model) / (copies + 1);
        let won = 0;
        this.holders.get(model)!.forEach(book => {
            const now = this.utilisation.get(book) ?? 0;
            won += queueCost(now) - queueCost(now - relief);
        });
        return won;
    }

    /** What load that is added at a runner costs at least, whatever else leaves it. */
    private leastCost(book: RunnerTracker, added: number): number {
        return queueCost(added) - queueCost(this.utilisation.get(book) ?? 0);
    }

    /** The best way to bring a model to a runner, undefined where there is none. */
    private optionAt(model: ModelSpec, book: RunnerTracker): CopyOption | undefined {
        const { engine, mayLoadFromWeightStore: mayLoadFromStore } = this.inputs;
        if (holdsOrLoads(book, model.name) || (book.loadsFromWeightStore(model.name) && !mayLoadFromStore)) {
            return undefined;
        }
        const missingMb = this.usedMb.get(book)! + model.memoryMb - engine.memoryMb;
        let best: CopyOption | undefined;
        for (const victims of this.victimSets(book, missingMb)) {
            const advantage = this.advantage(model, book, victims);
            if (advantage > (best?.advantage ?? Number.NEGATIVE_INFINITY)) {
                best = { tracker: book, victims, advantage };
            }
        }
        return best;
    }

    /** Sets of models that free enough memory: none, one, or the least busy few. */
    private victimSets(book: RunnerTracker, missingMb: number): readonly (readonly string[])[] {
        if (missingMb <= 0) {
            return [[]];
        }
        const sizeOf = (name: string): number => this.inputs.engine.models.get(name)?.memoryMb ?? 0;
        const held = [...book.models].filter(name => book.heldMs(name) > minHeldMs || this.inputs.demand.loadOf(name) === 0);
        const single = held.filter(name => sizeOf(name) >= missingMb).map(name => [name]);
        if (single.length > 0) {
            return single;
        }
        const victims: string[] = [];
        let freedMb = 0;
        for (const name of held.sort((a, b) => this.load(a) - this.load(b))) {
            if (freedMb < missingMb) {
                victims.push(name);
                freedMb += sizeOf(name);
            }
        }
        return freedMb >= missingMb ? [victims] : [];
    }

    private isServedBeside(model: string, book: RunnerTracker): boolean {
        for (const holder of this.holders.get(model) ?? []) {
            if (holder !== book && serves(holder, model)) {
                return true;
            }
        }
        return false;
    }

    private advantage(model: ModelSpec, book: RunnerTracker, victims: readonly string[]): number {
        const changes = new Map<RunnerTracker, number>();
        const change = (at: RunnerTracker, load: number): void => void changes.set(at, (changes.get(at) ?? 0) + load);
        const copies = this.copies(model.name);
        const load = this.load(model.name);
        this.holders.get(model.name)!.forEach(holder => change(holder, load / (copies + 1) - load / copies));
        change(book, load / (copies + 1));
        let lost = 0;
        for (const victim of victims) {
            const before = this.copies(victim);
            const isLastServing = !this.isServedBeside(victim, book);
            const victimLoad = this.load(victim);
            lost += busyVictimCost * 2 ** (-this.inputs.demand.idleMs(victim) / busyVictimHalfLifeMs);
            lost += droppedCacheCost * victimLoad / Math.max(1, before) + (isLastServing ? this.missingCost(victim) : 0);
            this.holders.get(victim)?.forEach(holder =>
                change(holder, holder === book ? -victimLoad / before : victimLoad / (before - 1) - victimLoad / before)
            );
        }
        const won = copies === 0 ? this.missingCost(model.name) : 0;
        let queues = 0;
        changes.forEach((delta, at) => {
            const now = this.utilisation.get(at) ?? 0;
            queues += queueCost(now + delta) - queueCost(now);
        });
        const loadCost = loadCostPerS * book.loadMs(model) / 1_000 + (book.loadsFromWeightStore(model.name) ? storeLoadCost : 0);
        return won - lost - queues - loadCost;
    }
}
