import { RunnerOrderKind } from "../types/runner";
import type { EngineSpec, ModelSpec } from "../types/servingConfig";
import { UpstreamState } from "../types/upstreamServer";
import type { ModelDemand } from "./modelDemand";
import type { RunnerBook } from "./runnerBook";

/** Worth a second of a first copy of a model that callers wait for, and of one that they may ask for at any time. */
const wantedWorth = 1;
const offeredWorth = 0.02;
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
/** Worth a second that the requests earn which take up one runner. */
const worthPerRunner = 10;

/** Worth a second that is lost at a runner by its utilisation: requests wait for each other's prompts, and miss their target. */
const queueCost = (utilisation: number): number => {
    const bounded = Math.max(0, utilisation);
    // Half of the requests are lost at a utilisation of 1, nearly none at a third, and never more than all.
    const lostShare = bounded ** 3 / (1 + bounded ** 3);
    return worthPerRunner * bounded * lostShare;
};

/** One order that the plan asks for. */
export interface CopyStep {
    readonly kind: RunnerOrderKind;
    readonly runner: string;
    readonly model: string;
    /** The model that an unload makes room for. */
    readonly makesRoomFor?: string;
    readonly advantage: number;
}

/** What the plan is made from. */
export interface CopyPlanInputs {
    readonly engine: EngineSpec;
    readonly books: readonly RunnerBook[];
    readonly demand: ModelDemand;
    /** Models that requests wait for now. */
    readonly wanted: ReadonlySet<string>;
    /** Whether a load from the weight store may begin. */
    readonly mayLoadFromStore: boolean;
}

interface Option {
    readonly book: RunnerBook;
    readonly victims: readonly string[];
    readonly advantage: number;
}

const isUnloading = (book: RunnerBook, model: string): boolean => book.transit?.kind === RunnerOrderKind.Unload && book.transit.model === model;

/** Whether a runner stays, as far as is known. */
const isUsable = (book: RunnerBook): boolean => book.server.state === UpstreamState.Ready && book.server.remainingMs === undefined && book.isReachable;

/** Whether requests may use a model at a runner. */
export const serves = (book: RunnerBook, model: string): boolean => book.isReachable && book.models.has(model) && !isUnloading(book, model);

/** Whether a runner holds a model, or will when its order is done. */
export const holdsOrLoads = (book: RunnerBook, model: string): boolean => serves(book, model) || book.isLoading(model);

const toStep = (model: ModelSpec, { book, victims, advantage }: Option): CopyStep => {
    const [victim] = victims;
    const runner = book.server.id;
    return victim === undefined
        ? { kind: RunnerOrderKind.Load, runner, model: model.name, advantage }
        : { kind: RunnerOrderKind.Unload, runner, model: victim, makesRoomFor: model.name, advantage };
};

/**
 * Chooses loads and unloads by what they win: first copies of wanted models, and further copies that level the runners'
 * utilisation. Answers shifts of demand between models, and bursts of one.
 */
export class CopyPlan {
    private readonly holders = new Map<string, Set<RunnerBook>>();
    private readonly utilisation = new Map<RunnerBook, number>();
    private readonly usable: readonly RunnerBook[];

    private constructor(private readonly inputs: CopyPlanInputs) {
        this.usable = inputs.books.filter(isUsable);
        for (const model of inputs.engine.models.keys()) {
            this.holders.set(model, new Set(this.usable.filter(book => holdsOrLoads(book, model))));
        }
        this.usable.forEach(book => this.utilisation.set(book, 0));
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
        const taken = new Set<RunnerBook>();
        for (const model of this.needs()) {
            const best = this.bestOption(model, taken);
            if (!best || best.advantage < leastAdvantage) {
                continue;
            }
            taken.add(best.book);
            steps.push(toStep(model, best));
            best.victims.forEach(victim => this.move(victim, book => book.delete(best.book)));
            this.move(model.name, books => books.add(best.book));
        }
        return steps;
    }

    /** The step that brings one model to one runner that was chosen for it before. */
    stepFor(model: ModelSpec, book: RunnerBook): CopyStep | undefined {
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
            .filter(({ name }) => this.load(name) > 0 || this.inputs.wanted.has(name))
            .sort((a, b) => urgency(b.name) - urgency(a.name));
    }

    private load(model: string): number {
        return this.inputs.demand.loadOf(model);
    }

    private copies(model: string): number {
        return this.holders.get(model)?.size ?? 0;
    }

    private missingCost(model: string): number {
        return (this.inputs.wanted.has(model) ? wantedWorth : 0) + offeredWorth + worthPerRunner * this.load(model);
    }

    private addLoad(book: RunnerBook, load: number): void {
        this.utilisation.set(book, (this.utilisation.get(book) ?? 0) + load);
    }

    /** Changes a model's holders and spreads its load anew. */
    private move(model: string, change: (books: Set<RunnerBook>) => void): void {
        const books = this.holders.get(model);
        if (books) {
            books.forEach(book => this.addLoad(book, -this.load(model) / books.size));
            change(books);
            books.forEach(book => this.addLoad(book, this.load(model) / books.size));
        }
    }

    private bestOption(model: ModelSpec, taken: ReadonlySet<RunnerBook>): Option | undefined {
        let best: Option | undefined;
        for (const book of this.usable) {
            const option = taken.has(book) || !book.canOrder ? undefined : this.optionAt(model, book);
            if (option && option.advantage > (best?.advantage ?? Number.NEGATIVE_INFINITY)) {
                best = option;
            }
        }
        return best;
    }

    /** The best way to bring a model to a runner, undefined where there is none. */
    private optionAt(model: ModelSpec, book: RunnerBook): Option | undefined {
        const { engine, mayLoadFromStore } = this.inputs;
        if (holdsOrLoads(book, model.name) || (book.loadsFromStore(model.name) && !mayLoadFromStore)) {
            return undefined;
        }
        const missingMb = book.usedMb(engine) + model.memoryMb - engine.memoryMb;
        let best: Option | undefined;
        for (const victims of this.victimSets(book, missingMb)) {
            const advantage = this.advantage(model, book, victims);
            if (advantage > (best?.advantage ?? Number.NEGATIVE_INFINITY)) {
                best = { book, victims, advantage };
            }
        }
        return best;
    }

    /** Sets of models that free enough memory: none, one, or the least busy few. */
    private victimSets(book: RunnerBook, missingMb: number): readonly (readonly string[])[] {
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

    private advantage(model: ModelSpec, book: RunnerBook, victims: readonly string[]): number {
        const changes = new Map<RunnerBook, number>();
        const change = (at: RunnerBook, load: number): void => void changes.set(at, (changes.get(at) ?? 0) + load);
        const copies = this.copies(model.name);
        const load = this.load(model.name);
        this.holders.get(model.name)!.forEach(holder => change(holder, load / (copies + 1) - load / copies));
        change(book, load / (copies + 1));
        let lost = 0;
        for (const victim of victims) {
            const before = this.copies(victim);
            const isLastServing = ![...this.holders.get(victim) ?? []].some(holder => holder !== book && serves(holder, victim));
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
        const loadCost = loadCostPerS * book.loadMs(model) / 1_000 + (book.loadsFromStore(model.name) ? storeLoadCost : 0);
        return won - lost - queues - loadCost;
    }
}
