import { softwareVersionOf } from "../types/upstreamServer";
import { getOrCreate } from "../utils/maps";
import { isUsable, serves } from "./copies";
import type { CopyNeed } from "./copyNeed";
import { anyModelValue } from "./copyValues";
import type { ModelDemand } from "./modelDemand";
import { valuePerRunner } from "./queueCost";
import { boundToVersion } from "./runnerBound";
import type { RunnerTracker } from "./runnerTracker";

/** Share of a model's streams at a version whose callers are expected to return to it. */
const returningShare = 0.1;
/** Greatest value per second of a second copy at a version: pays a load from host memory or disk into free memory only. */
const maxSecondCopyValue = 0.12;

/** Requests for a model that were served at one software version. */
interface Use {
    lastAt: number;
    /** The greatest load there, as a share of one runner's time, which decreases until no stream may return. */
    load: number;
    loadAt: number;
}

/**
 * The software versions of a service at which streams of a model may have begun: a copy served there while the model was requested. Known from the runners' reports
 * and the demand, so nodes report nothing more. Bounded by models and versions: what is older than the lifetime of a stream is removed.
 */
export class VersionUse {
    private readonly uses = new Map<string, Map<string, Use>>();

    private constructor(private readonly lifetimeMs: () => number, private readonly now: () => number) {}

    /** `lifetimeMs` returns how long callers may take a stream up; 0 if they may not. */
    static create(lifetimeMs: () => number, now: () => number = () => performance.now()): VersionUse {
        return new VersionUse(lifetimeMs, now);
    }

    /** Records which versions serve which models. Called in each planning round with all runners of a service. */
    observe(trackers: readonly RunnerTracker[], demand: ModelDemand): void {
        const copies = new Map<string, Map<string, number>>();
        for (const tracker of trackers) {
            const version = softwareVersionOf(tracker.server);
            for (const model of tracker.models) {
                if (serves(tracker, model) && demand.idleMs(model) < this.lifetimeMs()) {
                    const counts = getOrCreate(copies, model, () => new Map<string, number>());
                    counts.set(version, (counts.get(version) ?? 0) + 1);
                }
            }
        }
        for (const [model, counts] of copies) {
            const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
            counts.forEach((count, version) => this.update(model, version, demand.loadOf(model) * count / total, demand.idleMs(model)));
        }
        this.removeExpired();
    }

    /** Copies that the present versions need for streams that may return; none while there is one version. */
    needsAt(trackers: readonly RunnerTracker[]): readonly CopyNeed[] {
        const versions = new Set(trackers.filter(isUsable).map(({ server }) => softwareVersionOf(server)));
        if (versions.size <= 1) {
            return [];
        }
        return [...this.uses].flatMap(([model, byVersion]) =>
            [...byVersion].filter(([version]) => versions.has(version)).map(([version, use]) => this.toNeed(model, version, use))
        );
    }

    private toNeed(model: string, version: string, use: Use): CopyNeed {
        const returningValue = valuePerRunner * returningShare * this.loadOf(use);
        return {
            model,
            bound: boundToVersion(version),
            firstValue: anyModelValue + returningValue,
            secondValue: Math.min(maxSecondCopyValue, returningValue),
        };
    }

    private update(model: string, version: string, load: number, idleMs: number): void {
        const byVersion = getOrCreate(this.uses, model, () => new Map<string, Use>());
        const use = getOrCreate(byVersion, version, () => ({ lastAt: Number.NEGATIVE_INFINITY, load: 0, loadAt: this.now() }));
        use.lastAt = Math.max(use.lastAt, this.now() - idleMs);
        if (load >= this.loadOf(use)) {
            use.load = load;
            use.loadAt = this.now();
        }
    }

    private loadOf({ load, loadAt }: Use): number {
        return load * Math.max(0, 1 - (this.now() - loadAt) / Math.max(1, this.lifetimeMs()));
    }

    private removeExpired(): void {
        const expiresBefore = this.now() - this.lifetimeMs();
        for (const [model, byVersion] of this.uses) {
            byVersion.forEach(({ lastAt }, version) => lastAt <= expiresBefore && byVersion.delete(version));
            if (byVersion.size === 0) {
                this.uses.delete(model);
            }
        }
    }
}
