import { z } from "zod";
import type { ControllerRow, RunnerLease } from "../types/controllerLease";
import { EventId } from "../types/eventId";
import type { StoredRow } from "../types/rowStore";
import { emit } from "../utils/events";
import type { StoreClock } from "./storeClock";

/** Time for which a renewal counts: three renewals, so that one may be lost. */
export const controllerLeaseTtlMs = 1_500;
/** An order that has left arrives, or fails, within this time. */
export const maxOrderDeliveryMs = 500;
/** Time from the request for a turn to the order's departure; the store answers in between. */
const departureMs = 400;

const rowSchema: z.ZodType<ControllerRow> = z.object({
    holder: z.string(),
    boot: z.string(),
    peerAddress: z.string(),
    isReleased: z.boolean(),
    untilMs: z.number(),
    turns: z.record(z.string(), z.object({ holder: z.string(), untilMs: z.number() })),
    storeLoads: z.array(z.number()),
});

/** Who asks for the lease. */
export type LeaseCandidate = Pick<ControllerRow, "holder" | "boot" | "peerAddress">;

/** What the platform demands of holders. */
export interface LeaseRules {
    /** Least time between the orders of two holders to one runner. */
    readonly turnGapMs: number;
    /** Window over which loads from the weight store are counted. */
    readonly loadWindowMs: number;
}

/** What a turn is asked for. */
export interface RunnerLeaseRequest {
    readonly runner: string;
    readonly isWeightStoreLoad: boolean;
}

/** Reads the lease row; undefined where there is none that can be read. */
export const decodeControllerRow = (stored: StoredRow | undefined): ControllerRow | undefined => {
    if (!stored?.value) {
        return undefined;
    }
    try {
        return rowSchema.parse(JSON.parse(stored.value.toString()));
    }
    catch (err) {
        // Only nodes write this row: a form that cannot be read is one of another release, and is replaced.
        emit(EventId.LeaseRowUnreadable, { rowVersion: stored.version, detail: err instanceof Error ? err.message : String(err) });
        return undefined;
    }
};

/** The row that a holder writes next: renewed, with turns at the runners that it asks for, and with those that others may still rely on. */
export const nextControllerRow = (
    row: ControllerRow | undefined,
    self: LeaseCandidate,
    { earliestMs, latestMs }: StoreClock,
    asks: readonly RunnerLeaseRequest[],
    isReleased: boolean,
    { turnGapMs, loadWindowMs }: LeaseRules,
): ControllerRow => {
    const turn: RunnerLease = { holder: self.holder, untilMs: latestMs + departureMs + maxOrderDeliveryMs };
    const turns = Object.entries(row?.turns ?? {}).filter(([, { untilMs }]) => untilMs + turnGapMs > earliestMs);
    const storeLoads = (row?.storeLoads ?? []).filter(at => at + loadWindowMs > earliestMs);
    return {
        ...self,
        isReleased,
        untilMs: latestMs + controllerLeaseTtlMs,
        turns: Object.fromEntries([...turns, ...asks.map(({ runner }) => [runner, turn] as const)]),
        storeLoads: [...storeLoads, ...asks.filter(({ isWeightStoreLoad: isStoreLoad }) => isStoreLoad).map(() => latestMs)],
    };
};
