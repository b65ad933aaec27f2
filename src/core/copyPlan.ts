import { RunnerOrderKind } from "../types/runner";
import type { EngineSpec, ModelSpec } from "../types/servingConfig";
import { UpstreamState } from "../types/upstreamServer";
import type { ModelDemand } from "./modelDemand";
import type { RunnerBook } from "./runnerBook";

/** Share of a runner's time that one copy of a model may need before another copy is worth a load. */
const copyLoad = 0.3;
/** Worth of the first copy of a model that callers wait for. */
const firstCopyGain = 1;
/** Worth of the last copy of a model: always something, and more while it is asked for. */
const lastCopyLoss = 0.05;
const recentCopyLoss = 0.7;
const recencyHalfLifeMs = 6_000;
/** What a load costs, for each second that it takes, and if it draws on the weight store. */
const loadCostPerS = 0.03;
const storeLoadCost = 0.08;
/** What a further copy on a busy runner is worth less. */
const busyRunnerCost = 0.5;
/** Least advantage of a move. */
const leastAdvantage = 0.05;

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

const isLoading = (book: RunnerBook, model: string): boolean =>
    (book.transit?.kind === RunnerOrderKind.Load && book.transit.model === model) || (book.unsettled?.kind === RunnerOrderKind.Load && book.unsettled.model === model && book.unsettled.adapter === undefined);

const isUnloading = (book: RunnerBook, model: string): boolean => book.transit?.kind === RunnerOrderKind.Unload && book.transit.model === model;

/** Whether a runner holds a model, or will when its order is done. */
export const holdsOrLoads = (book: RunnerBook, model: string): boolean =>
    (book.models.has(model) && !isUnloading(book, model)) || isLoading(book, model);

/** Chooses loads and unloads: first copies of wanted models, then further copies where one is too busy. Answers shifts of demand between models. */
export class CopyPlan {
    private readonly copies = new Map<string, number>();

    private constructor(private readonly inputs: CopyPlanInputs) {
        for (const model of inputs.engine.models.keys()) {
            this.copies.set(model, this.usable().filter(book => holdsOrLoads(book, model)).length);
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
            const [victim] = best.victims;
            const runner = best.book.server.id;
            steps.push(
                victim === undefined
                    ? { kind: RunnerOrderKind.Load, runner, model: model.name, advantage: best.advantage }
                    : { kind: RunnerOrderKind.Unload, runner, model: victim, makesRoomFor: model.name, advantage: best.advantage },
            );
            best.victims.forEach(name => this.copies.set(name, this.copiesOf(name) - 1));
            this.copies.set(model.name, this.copiesOf(model.name) + 1);
        }
        return steps;
    }

    /** The step that brings one model to one runner that was chosen for it before. */
    stepFor(model: ModelSpec, book: RunnerBook): CopyStep | undefined {
        const option = this.optionAt(model, book);
        if (!option) {
            return undefined;
        }
        const [victim] = option.victims;
        const runner = book.server.id;
        return victim === undefined
            ? { kind: RunnerOrderKind.Load, runner, model: model.name, advantage: option.advantage }
            : { kind: RunnerOrderKind.Unload, runner, model: victim, makesRoomFor: model.name, advantage: option.advantage };
    }

    /** Models that should get a copy, the most urgent first. */
    private needs(): readonly ModelSpec[] {
        return [...this.inputs.engine.models.values()]
            .map(model => ({ model, gain: this.gain(model.name) }))
            .filter(({ model, gain }) => gain > 0 && (this.copiesOf(model.name) === 0 || this.pressure(model.name) > copyLoad))
            .sort((a, b) => b.gain - a.gain)
            .map(({ model }) => model);
    }

    private copiesOf(model: string): number {
        return this.copies.get(model) ?? 0;
    }

    private pressure(model: string): number {
        return this.inputs.demand.loadOf(model) / Math.max(1, this.copiesOf(model));
    }

    private gain(model: string): number {
        const load = this.inputs.demand.loadOf(model);
        const copies = this.copiesOf(model);
        if (copies === 0) {
            return (this.inputs.wanted.has(model) ? firstCopyGain : 0) + load;
        }
        return load / copies - load / (copies + 1);
    }

    private loss(model: string): number {
        const load = this.inputs.demand.loadOf(model);
        const copies = this.copiesOf(model);
        if (copies > 1) {
            return load / (copies - 1) - load / copies;
        }
        return lastCopyLoss + load + recentCopyLoss * 2 ** (-this.inputs.demand.idleMs(model) / recencyHalfLifeMs);
    }

    private usable(): readonly RunnerBook[] {
        return this.inputs.books.filter(({ server }) => server.state === UpstreamState.Ready && server.remainingMs === undefined);
    }

    private bestOption(model: ModelSpec, taken: ReadonlySet<RunnerBook>): Option | undefined {
        let best: Option | undefined;
        for (const book of this.usable()) {
            const option = taken.has(book) || !book.canOrder ? undefined : this.optionAt(model, book);
            if (option && option.advantage > (best?.advantage ?? Number.NEGATIVE_INFINITY)) {
                best = option;
            }
        }
        return best;
    }

    private optionAt(model: ModelSpec, book: RunnerBook): Option | undefined {
        const { engine, mayLoadFromStore } = this.inputs;
        const fromStore = book.loadsFromStore(model.name);
        if (holdsOrLoads(book, model.name) || (fromStore && !mayLoadFromStore)) {
            return undefined;
        }
        const victims: string[] = [];
        let missingMb = book.usedMb(engine) + model.memoryMb - engine.memoryMb;
        const held = [...book.models].map(name => ({ name, loss: this.loss(name) })).sort((a, b) => a.loss - b.loss);
        let loss = 0;
        for (const candidate of held) {
            if (missingMb <= 0) {
                break;
            }
            victims.push(candidate.name);
            loss += candidate.loss;
            missingMb -= engine.models.get(candidate.name)?.memoryMb ?? 0;
        }
        if (missingMb > 0) {
            return undefined;
        }
        const loadCost = loadCostPerS * book.loadMs(model) / 1_000 + (fromStore ? storeLoadCost : 0);
        return { book, victims, advantage: this.gain(model.name) - loss - loadCost - busyRunnerCost * this.runnerLoad(book, victims) };
    }

    /** Share of a runner's time that its models need, without some of them. */
    private runnerLoad(book: RunnerBook, without: readonly string[]): number {
        return [...book.models].filter(name => !without.includes(name)).reduce((sum, name) => sum + this.pressure(name), 0);
    }
}
