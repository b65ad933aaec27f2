import type { ControllerRow } from "../types/controllerLease";
import { eraOf, firstStoreEra } from "../types/storeVersion";
import type { StoreVersion } from "../types/storeVersion";
import { controllerLeaseTtlMs, maxOrderDeliveryMs, maxSendDelayMs } from "./controllerRow";
import type { StoreClock } from "./storeClock";

/** Whether a row was written in the era in which it was read; otherwise it is one of a copy from which the store was restored. */
export const isOfCurrentEra = (row: ControllerRow | undefined, version: StoreVersion): boolean =>
    row ? row.era === eraOf(version) : eraOf(version) <= firstStoreEra;

/** Replaces the lease row after restores: what it recorded in the lost time is unknown. */
export class RestoredRow {
    private era: number | undefined;
    private unrecordedUntilMs = 0;

    private constructor() {}

    /** Creates the replacement of rows that have not been needed yet. */
    static create(): RestoredRow {
        return new RestoredRow();
    }

    /**
     * A vacant row in place of one from before the restore. Until `unrecordedUntilMs` an order may arrive of any holder: one that held the lease just before
     * the restore, and had got a runner lease last of all.
     */
    replace(row: ControllerRow | undefined, known: ControllerRow | undefined, version: StoreVersion, clock: StoreClock): ControllerRow {
        const era = eraOf(version);
        if (this.era !== era) {
            this.era = era;
            this.unrecordedUntilMs = clock.latestMs + controllerLeaseTtlMs + maxSendDelayMs + maxOrderDeliveryMs;
        }
        return {
            holder: "",
            boot: "",
            peerAddress: "",
            isReleased: true,
            untilMs: 0,
            era,
            unrecordedUntilMs: this.unrecordedUntilMs,
            turns: {},
            storeLoads: [...new Set([...row?.storeLoads ?? [], ...known?.storeLoads ?? []])],
            crashes: row?.crashes ?? [],
            loads: [...row?.loads ?? [], ...known?.loads ?? []],
        };
    }
}
