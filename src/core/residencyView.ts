import type { UpstreamServer } from "../types/upstreamServer";
import { getOrCreate } from "../utils/maps";

/** How long a runner's answer that it lacks a model overrides the directory. */
const absenceOverrideMs = 1_500;

/** How long a runner that refused a request gets no further request for the same model. */
const refusalOverrideMs = 300;

const isListed = (models: UpstreamServer["models"], model: string): boolean => models.some(({ name }) => name === model);

/** Models and adapters that runners have loaded, corrected from answers and reports: the directory lags behind and lists only models. */
export class ResidencyView {
    private readonly adapters = new Map<string, Set<string>>();
    /** Models that the controller reported as loaded, by runner. */
    private readonly presentModels = new Map<string, Set<string>>();
    /** Models that runners are expected to have loaded by now. */
    private readonly expectedModels = new Map<string, Set<string>>();
    /** Models that runners lacked when they were expected; they are not expected again, but have to be reported. */
    private readonly lateModels = new Map<string, Set<string>>();
    /** Time until which a runner is assumed to lack a model, by runner and model. */
    private readonly absentUntil = new Map<string, Map<string, number>>();

    private constructor(private readonly now: () => number) {}

    /** Creates an empty view. */
    static create(now: () => number = () => performance.now()): ResidencyView {
        return new ResidencyView(now);
    }

    /** Whether a model is assumed to be loaded on a runner. */
    hasModel({ id, models }: UpstreamServer, model: string): boolean {
        if ((this.absentUntil.get(id)?.get(model) ?? 0) > this.now()) {
            return false;
        }
        return isListed(models, model) || [this.presentModels, this.expectedModels].some(byRunner => byRunner.get(id)?.has(model));
    }

    /** Whether a model is only expected on a runner. */
    isExpected({ id, models }: UpstreamServer, model: string): boolean {
        return this.expectedModels.get(id)?.has(model) === true && !isListed(models, model);
    }

    /** Whether an adapter, as `model/adapter`, is known to be loaded on a runner. */
    hasAdapter(runner: string, artifact: string): boolean {
        return this.adapters.get(runner)?.has(artifact) ?? false;
    }

    /** Replaces the adapters of a runner by a complete list. */
    replaceAdapters(runner: string, artifacts: Iterable<string>): void {
        this.adapters.set(runner, new Set(artifacts));
    }

    /** Records that a runner has loaded an adapter. */
    addAdapter(runner: string, artifact: string): void {
        getOrCreate(this.adapters, runner, () => new Set<string>()).add(artifact);
    }

    /** Records that a runner has loaded a model, before the directory lists it. */
    addModel(runner: string, model: string): void {
        getOrCreate(this.presentModels, runner, () => new Set<string>()).add(model);
        [this.absentUntil, this.expectedModels, this.lateModels].forEach(byRunner => byRunner.get(runner)?.delete(model));
    }

    /** Records that a runner should have loaded a model by now. A load may take longer than was estimated. */
    expectModel(runner: string, model: string): void {
        if (!this.lateModels.get(runner)?.has(model) && !this.presentModels.get(runner)?.has(model)) {
            getOrCreate(this.expectedModels, runner, () => new Set<string>()).add(model);
            this.absentUntil.get(runner)?.delete(model);
        }
    }

    /** Records that a runner refused a request for a model that was only expected there. */
    onTooEarly(runner: string, model: string): void {
        if (this.expectedModels.get(runner)?.delete(model)) {
            getOrCreate(this.lateModels, runner, () => new Set<string>()).add(model);
        }
    }

    /** Records that a runner answered that it lacks a model or adapter. */
    onAbsent(runner: string, model: string, artifact: string): void {
        if (artifact !== model && this.adapters.get(runner)?.delete(artifact)) {
            return;
        }
        this.presentModels.get(runner)?.delete(model);
        getOrCreate(this.absentUntil, runner, () => new Map<string, number>()).set(model, this.now() + absenceOverrideMs);
    }

    /** Records that a runner refused a request for a model, because it is full or unloads the model. */
    onRefused(runner: string, model: string): void {
        getOrCreate(this.absentUntil, runner, () => new Map<string, number>()).set(model, this.now() + refusalOverrideMs);
    }

    /** Removes the corrections to a runner's models: a newer directory entry takes precedence. */
    onDirectoryChange(runner: string): void {
        [this.presentModels, this.expectedModels, this.lateModels, this.absentUntil].forEach(byRunner => byRunner.delete(runner));
    }

    /** Removes a runner. */
    forget(runner: string): void {
        this.onDirectoryChange(runner);
        this.adapters.delete(runner);
    }
}
