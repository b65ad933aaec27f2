import { getOrCreate } from "../utils/maps";

/** Adapters that the node knows to be loaded at runners; the directory tells of models only. */
export class ResidencyView {
    private readonly adapters = new Map<string, Set<string>>();

    private constructor() {}

    /** Makes an empty view. */
    static create(): ResidencyView {
        return new ResidencyView();
    }

    /** Whether a runner is known to hold an adapter, as `model/adapter`. */
    hasAdapter(runner: string, artifact: string): boolean {
        return this.adapters.get(runner)?.has(artifact) ?? false;
    }

    /** Takes the whole list of a runner's adapters. */
    replace(runner: string, artifacts: Iterable<string>): void {
        this.adapters.set(runner, new Set(artifacts));
    }

    /** Notes that a runner holds an adapter. */
    add(runner: string, artifact: string): void {
        getOrCreate(this.adapters, runner, () => new Set<string>()).add(artifact);
    }

    /** Forgets one adapter of a runner, or the runner. */
    forget(runner: string, artifact?: string): void {
        if (artifact === undefined) {
            this.adapters.delete(runner);
        }
        else {
            this.adapters.get(runner)?.delete(artifact);
        }
    }
}
