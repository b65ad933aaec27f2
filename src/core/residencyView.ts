import type { UpstreamServer } from "../types/upstreamServer";
import { getOrCreate } from "../utils/maps";

/** How long a runner's answer that it lacks a model overrides the directory. */
const absenceOverrideMs = 1_500;

/** How long a runner that refused a request gets no further request for the same model. */
const refusalOverrideMs = 300;

/** Models and adapters that runners have loaded, corrected from answers and reports: the directory lags behind and lists only models. */
export class ResidencyView {
    private readonly adapters = new Map<string, Set<string>>();
    /** Models that the controller reported as loaded, by runner. */
    private readonly presentModels = new Map<string, Set<string>>();
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
        return models.some(({ name }) => name === model) || (this.presentModels.get(id)?.has(model) ?? false);
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
        this.absentUntil.get(runner)?.delete(model);
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
        this.presentModels.delete(runner);
        this.absentUntil.delete(runner);
    }

    /** Removes a runner. */
    forget(runner: string): void {
        this.onDirectoryChange(runner);
        this.adapters.delete(runner);
    }
}
