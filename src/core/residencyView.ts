import type { UpstreamServer } from "../types/upstreamServer";
import { getOrCreate } from "../utils/maps";

/** After this time the directory is trusted again on a model that a runner said it lacks. */
const absenceMs = 1_500;

/** A runner that refused a request is not asked for the same model for this long. */
const refusalMs = 300;

/** What the node knows of runners' models and adapters beyond the directory, which lags and tells of models only. */
export class ResidencyView {
    private readonly adapters = new Map<string, Set<string>>();
    /** Models that the controller said are loaded, by runner. */
    private readonly present = new Map<string, Set<string>>();
    /** Until when a runner is thought to lack a model, by runner and model. */
    private readonly absent = new Map<string, Map<string, number>>();

    private constructor(private readonly now: () => number) {}

    /** Makes an empty view. */
    static create(now: () => number = () => performance.now()): ResidencyView {
        return new ResidencyView(now);
    }

    /** Whether a runner is thought to hold a model. */
    hasModel({ id, models }: UpstreamServer, model: string): boolean {
        if ((this.absent.get(id)?.get(model) ?? 0) > this.now()) {
            return false;
        }
        return models.some(({ name }) => name === model) || (this.present.get(id)?.has(model) ?? false);
    }

    /** Whether a runner is known to hold an adapter, as `model/adapter`. */
    hasAdapter(runner: string, artifact: string): boolean {
        return this.adapters.get(runner)?.has(artifact) ?? false;
    }

    /** Takes the whole list of a runner's adapters. */
    replaceAdapters(runner: string, artifacts: Iterable<string>): void {
        this.adapters.set(runner, new Set(artifacts));
    }

    /** Notes that a runner holds an adapter. */
    addAdapter(runner: string, artifact: string): void {
        getOrCreate(this.adapters, runner, () => new Set<string>()).add(artifact);
    }

    /** Notes that a runner holds a model, before the directory says so. */
    addModel(runner: string, model: string): void {
        getOrCreate(this.present, runner, () => new Set<string>()).add(model);
        this.absent.get(runner)?.delete(model);
    }

    /** Notes that a runner said that it lacks a model or adapter. */
    onAbsent(runner: string, model: string, artifact: string): void {
        if (artifact !== model && this.adapters.get(runner)?.delete(artifact)) {
            return;
        }
        this.present.get(runner)?.delete(model);
        getOrCreate(this.absent, runner, () => new Map<string, number>()).set(model, this.now() + absenceMs);
    }

    /** A runner refused a request for a model: it is full, or lets the model go. */
    onRefused(runner: string, model: string): void {
        getOrCreate(this.absent, runner, () => new Map<string, number>()).set(model, this.now() + refusalMs);
    }

    /** The directory has a newer entry of a runner, which takes precedence. */
    onDirectoryChange(runner: string): void {
        this.present.delete(runner);
        this.absent.delete(runner);
    }

    /** Forgets a runner. */
    forget(runner: string): void {
        this.onDirectoryChange(runner);
        this.adapters.delete(runner);
    }
}
