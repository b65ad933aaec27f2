import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ModelDemand } from "../src/core/modelDemand";

const stepMs = 50;

describe("demand for a model", () => {
    interface Phase {
        readonly forMs: number;
        /** Work requested, as a share of one runner's time. */
        readonly load: number;
    }
    const cases: readonly { readonly name: string; readonly phases: readonly Phase[]; readonly min: number; readonly max: number; }[] = [
        { name: "is the average of steady requests", phases: [{ forMs: 20_000, load: 0.5 }], min: 0.45, max: 0.55 },
        { name: "shows half of a surge within 1.5 s", phases: [{ forMs: 20_000, load: 0.1 }, { forMs: 1_500, load: 2 }], min: 1, max: 2 },
        { name: "does not exceed a surge", phases: [{ forMs: 5_000, load: 0.1 }, { forMs: 6_000, load: 2 }], min: 1.3, max: 2.05 },
        { name: "decays slowly after requests have ended", phases: [{ forMs: 20_000, load: 1 }, { forMs: 4_000, load: 0 }], min: 0.4, max: 0.6 },
    ];
    for (const { name, phases, min, max } of cases) {
        it(name, () => {
            let now = 0;
            const demand = ModelDemand.create(() => now);
            for (const { forMs, load } of phases) {
                for (let elapsed = 0; elapsed < forMs; elapsed += stepMs) {
                    now += stepMs;
                    if (load > 0) {
                        demand.count("m", load * stepMs);
                    }
                }
            }
            const load = demand.loadOf("m");
            assert.ok(load >= min && load <= max, `load ${load}`);
        });
    }
});
