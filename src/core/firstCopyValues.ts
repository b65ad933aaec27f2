import { getOrCreate } from "../utils/maps";
import type { CopyPlanInputs } from "./copyPlanInputs";
import { anyModelValue, awaitedModelValue, turnUrgency, turnValue } from "./copyValues";
import { valuePerRunner } from "./queueCost";

/** Time since the last request for a model within which its callers are expected to go on. */
const maxCallerIdleMs = 6_000;

/** What a plan values the first copies of models by. */
type FirstCopyInputs = Pick<CopyPlanInputs, "awaitedModels" | "awaitedMs" | "demand">;

/**
 * Values the first copies of models. Those that have waited for long replace models of the lower half of the load that is served. The upper half takes no part in these
 * turns, so that the callers of all models lose little by them.
 */
export class FirstCopyValues {
    /** Computed once for each model: a plan compares many options with the same models. */
    private readonly values = new Map<string, number>();
    private readonly losses = new Map<string, number>();

    private constructor(
        private readonly inputs: FirstCopyInputs,
        private readonly loadOf: (model: string) => number,
        /** Load from which on a model takes no part in turns, and what its last copy is worth more. */
        private readonly exemptLoad: number,
        private readonly exemptionValue: number,
    ) {}

    /** Creates the values for a number of runners; `heldModels` have a copy. */
    static create(inputs: FirstCopyInputs, loadOf: (model: string) => number, runnerCount: number, heldModels: readonly string[]): FirstCopyValues {
        const { awaitedMs = new Map<string, number>() } = inputs;
        const maxTurn = turnValue(Math.max(0, ...awaitedMs.values()));
        // If more models wait than can be loaded at a time, as each runner loads one, a model that is unloaded has to wait, too.
        const exemptionValue = maxTurn + (awaitedMs.size > runnerCount ? awaitedModelValue : 0);
        const loads = exemptionValue > 0 ? heldModels.map(loadOf).sort((a, b) => a - b) : [];
        return new FirstCopyValues(inputs, loadOf, loads[Math.floor(loads.length / 2)] ?? 0, exemptionValue);
    }

    /** Value of a first copy of a model. */
    of(model: string): number {
        return getOrCreate(this.values, model, () => this.valueOf(model));
    }

    private valueOf(model: string): number {
        const waitValue = (this.inputs.awaitedModels.has(model) ? awaitedModelValue : 0) + turnValue(this.awaitedMsOf(model));
        return waitValue + anyModelValue + valuePerRunner * this.loadOf(model);
    }

    /** How soon a model without a copy is to get one. */
    urgencyOf(model: string): number {
        return this.of(model) + turnUrgency(this.awaitedMsOf(model));
    }

    /** What is lost with the last copy of a model. One that waits has to have more demand to replace a model that takes no part in turns. */
    lossOf(model: string): number {
        return getOrCreate(this.losses, model, () => this.computeLoss(model));
    }

    private computeLoss(model: string): number {
        const isExempt = this.exemptionValue > 0 && this.loadOf(model) > this.exemptLoad && this.inputs.demand.idleMs(model) < maxCallerIdleMs;
        return this.of(model) + (isExempt ? this.exemptionValue : 0);
    }

    private awaitedMsOf(model: string): number {
        return this.inputs.awaitedMs?.get(model) ?? 0;
    }
}
