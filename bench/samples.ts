import type { ConfigChange } from "../src/types/config";
import { RecordKind } from "../src/types/config";
import type { ReservationRow } from "../src/types/memoryReservation";
import { ReservationState } from "../src/types/memoryReservation";
import type { Offer, PlannedRunner } from "../src/types/plan";
import type { EngineReport } from "../src/types/report";
import { ResidencyState } from "../src/types/report";
import { VmKind, VmState } from "../src/types/vm";

/** Copies on one runner at the target: 1,400 models and as many adapters on 910 runners, with a third spare. */
export const copiesPerRunner = 4;

/** Names a sample artifact. */
export const sampleArtifactKey = (index: number): string => `model:model-${index}@1`;

/** A report of a runner that holds the given artifacts. */
export const sampleReport = (artifacts: readonly string[], sequence: number): EngineReport => ({
    incarnation: "0f0c2c1e-6a52-4a6c-8d0c-0f5f6f6f6f6f",
    sequence,
    memoryMiB: 80_000,
    slots: 32,
    active: sequence % 30,
    queued: sequence % 3,
    fence: 1_048_576,
    leaving: false,
    residencies: artifacts.map(artifact => ({ artifact, memoryMiB: 15_000, state: ResidencyState.Resident, active: sequence % 8 })),
    openOrders: [],
});

/** Runners with resident copies, and offers for so many models. */
export const samplePlanInputs = (runners: number, models: number): { readonly runners: readonly PlannedRunner[]; readonly offers: readonly Offer[]; } => {
    const held = [...Array(runners).keys()].map(runner =>
        [...Array(copiesPerRunner).keys()].map(copy => sampleArtifactKey((runner * copiesPerRunner + copy) % models))
    );
    const rows: readonly ReservationRow[] = held.map((artifacts, runner) => ({
        runner: `runner-${runner}`,
        incarnation: "i",
        memoryMiB: 80_000,
        entries: artifacts.map(artifact => ({
            artifact,
            memoryMiB: 15_000,
            state: ReservationState.Resident,
            orderId: "0f0c2c1e-6a52-4a6c-8d0c-0f5f6f6f6f6f",
            fence: 1_048_576,
            holder: "entry-1/0f0c2c1e-6a52-4a6c-8d0c-0f5f6f6f6f6f",
            answered: true,
            since: 1_767_225_600_000,
        })),
    }));
    return {
        runners: rows.map((row, runner) => ({
            vm: { id: row.runner, kind: VmKind.Runner, state: VmState.Live, availabilityZone: "za", url: "http://10.0.0.1:8000", group: "d" },
            row,
            report: sampleReport(held[runner]!, 1),
            leaving: false,
            cost: 1,
            stuck: [],
            drained: [],
        })),
        offers: [...Array(models).keys()].map(model => ({
            artifact: sampleArtifactKey(model),
            memoryMiB: 15_000,
            deployment: "d",
            minCopies: 1,
            homeHolds: false,
            demand: 0.5,
        })),
    };
};

/** Changes that write so many model records. */
export const sampleConfigChanges = (count: number): readonly ConfigChange[] =>
    [...Array(count).keys()].map(index => ({
        kind: RecordKind.Model,
        name: `model-${index}`,
        sequence: index + 1,
        operationId: "0f0c2c1e-6a52-4a6c-8d0c-0f5f6f6f6f6f",
        at: 1_767_225_600_000,
        record: {
            schemaVersion: 2,
            kind: "model",
            name: `model-${index}`,
            version: "1",
            memoryMiB: 15_000,
            deployment: "d",
            minCopies: 1,
            target: "interactive",
            note: "as an operator wrote it",
        },
    }));
