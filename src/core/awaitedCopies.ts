import type { CopyNeed } from "./copyNeed";
import { anyModelValue, awaitedModelValue } from "./copyValues";
import type { RunnerBound } from "./runnerBound";

/** Time for which a model counts as awaited after the last request to place it. */
const awaitedTtlMs = 1_500;
/** Needs that are kept at most; the oldest go first. Requests of one version share one. */
const maxNeeds = 500;

/** A model that requests wait for; without a bound, at any runner. */
interface AwaitedCopy {
    readonly service: string;
    readonly model: string;
    readonly bound: RunnerBound | undefined;
    readonly at: number;
}

/** Models that requests are waiting for, at any runner of their service or at some of them only. */
export class AwaitedCopies {
    /** In the order of their times. */
    private readonly byKey = new Map<string, AwaitedCopy>();

    private constructor(private readonly now: () => number) {}

    static create(now: () => number = () => performance.now()): AwaitedCopies {
        return new AwaitedCopies(now);
    }

    /** Records that a request waits for a model; `bound` is undefined if it may use all runners. Returns whether none waited for it lately. */
    add(service: string, model: string, bound?: RunnerBound): boolean {
        const key = JSON.stringify([service, model, bound?.key]);
        const before = this.byKey.get(key);
        this.byKey.delete(key);
        this.byKey.set(key, { service, model, bound, at: this.now() });
        this.removeExpired();
        return before === undefined || this.now() - before.at >= awaitedTtlMs;
    }

    /** Models that requests are waiting for at any runner of a service. */
    modelsOf(service: string): ReadonlySet<string> {
        return new Set(this.currentOf(service).filter(({ bound }) => bound === undefined).map(({ model }) => model));
    }

    /** Copies that requests are waiting for at some of a service's runners. */
    needsOf(service: string): readonly CopyNeed[] {
        return this.currentOf(service).flatMap(({ model, bound }) =>
            bound ? [{ model, bound, firstValue: awaitedModelValue + anyModelValue, secondValue: 0, delayCostPerS: awaitedModelValue }] : []
        );
    }

    private removeExpired(): void {
        for (const [oldest, { at }] of this.byKey) {
            if (this.now() - at < awaitedTtlMs && this.byKey.size <= maxNeeds) {
                return;
            }
            this.byKey.delete(oldest);
        }
    }

    private currentOf(service: string): readonly AwaitedCopy[] {
        return [...this.byKey.values()].filter(copy => copy.service === service && this.now() - copy.at < awaitedTtlMs);
    }
}
