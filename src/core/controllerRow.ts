import { z } from "zod";
import type { ControllerRow, RunnerLease, UnansweredLoad } from "../types/controllerLease";
import { EventId } from "../types/eventId";
import type { StoredRow } from "../types/rowStore";
import type { RunnerCrash } from "../types/runnerCrash";
import type { StoreVersion } from "../types/storeVersion";
import { eraOf } from "../types/storeVersion";
import { emit } from "../utils/events";
import type { StoreClock } from "./storeClock";

/** Time from a renewal to the lease's expiry: three renewal intervals, so that one renewal may be lost. */
export const controllerLeaseTtlMs = 1_500;
/** A sent order reaches its runner, or fails, within this time. */
export const maxOrderDeliveryMs = 500;
/** Allowance from the request for a runner lease until the order is sent; the store answers in between. */
export const maxSendDelayMs = 400;

const rowSchema: z.ZodType<ControllerRow> = z.object({
    holder: z.string(),
    boot: z.string(),
    peerAddress: z.string(),
    isReleased: z.boolean(),
    untilMs: z.number(),
    // Missing from rows of earlier releases, like the crashes and loads; those are taken for rows from before a restore.
    era: z.number().default(0),
    unrecordedUntilMs: z.number().default(0),
    turns: z.record(z.string(), z.object({ holder: z.string(), untilMs: z.number() })),
    storeLoads: z.array(z.number()),
    crashes: z.array(z.object({ id: z.string(), atMs: z.number(), parts: z.array(z.string()) })).default([]),
    loads: z.array(
        z.object({ runner: z.string(), bornAt: z.number(), order: z.string(), memoryMb: z.number(), adapterSlots: z.number(), untilMs: z.number() }),
    ).default([]),
});

/** Identity of a process that may take the controller lease. */
export type LeaseCandidate = Pick<ControllerRow, "holder" | "boot" | "peerAddress">;

/** Rules of the platform for holders of the controller lease. */
export interface LeaseRules {
    /** Minimum time between the orders of two holders to one runner. */
    readonly turnGapMs: number;
    /** Sliding window over which loads from the weight store are counted. */
    readonly loadWindowMs: number;
}

/** Request for a runner lease. */
export interface RunnerLeaseRequest {
    readonly runner: string;
    readonly isWeightStoreLoad: boolean;
}

/** What the row keeps besides the lease, for the next holder. */
export interface DurableFacts {
    readonly crashes: readonly RunnerCrash[];
    readonly loads: readonly UnansweredLoad[];
}

/** A runner lease request that waits for the row to be written. */
export interface PendingRunnerLease extends RunnerLeaseRequest {
    readonly resolve: (isGranted: boolean) => void;
}

/** The row as last read or written; undefined if it did not exist. */
export interface SeenRow {
    readonly row: ControllerRow | undefined;
    readonly version: StoreVersion;
}

/** Decodes the lease row; undefined if it is missing or unreadable. */
export const decodeControllerRow = (stored: StoredRow | undefined): ControllerRow | undefined => {
    if (!stored?.value) {
        return undefined;
    }
    try {
        return rowSchema.parse(JSON.parse(stored.value.toString()));
    }
    catch (err) {
        // Only nodes write this row: an unreadable value was written by another release, and is replaced.
        emit(EventId.LeaseRowUnreadable, { rowVersion: stored.version, detail: err instanceof Error ? err.message : String(err) });
        return undefined;
    }
};

/** The row that a holder writes next: renewed, with the requested runner leases and the earlier ones that still block another holder. */
export const nextControllerRow = (
    { row, version }: SeenRow,
    self: LeaseCandidate,
    { earliestMs, latestMs }: StoreClock,
    requests: readonly RunnerLeaseRequest[],
    isReleased: boolean,
    { crashes, loads }: DurableFacts,
    { turnGapMs, loadWindowMs }: LeaseRules,
): ControllerRow => {
    const runnerLease: RunnerLease = { holder: self.holder, untilMs: latestMs + maxSendDelayMs + maxOrderDeliveryMs };
    const activeLeases = Object.entries(row?.turns ?? {}).filter(([, { untilMs }]) => untilMs + turnGapMs > earliestMs);
    const unrecordedUntilMs = row?.unrecordedUntilMs ?? 0;
    const storeLoads = (row?.storeLoads ?? []).filter(startedAt => startedAt + loadWindowMs > earliestMs);
    return {
        ...self,
        isReleased,
        untilMs: latestMs + controllerLeaseTtlMs,
        era: eraOf(version),
        unrecordedUntilMs: unrecordedUntilMs + turnGapMs > earliestMs ? unrecordedUntilMs : 0,
        turns: Object.fromEntries([...activeLeases, ...requests.map(({ runner }) => [runner, runnerLease] as const)]),
        storeLoads: [...storeLoads, ...requests.filter(({ isWeightStoreLoad }) => isWeightStoreLoad).map(() => latestMs)],
        crashes: crashes.map(({ id, ageMs, suspects }) => ({ id, atMs: Math.round(latestMs - ageMs), parts: suspects.flat() })),
        loads: loads.map(({ forMs, ...load }) => ({ ...load, untilMs: Math.ceil(latestMs + forMs) })),
    };
};

/** Whether a holder may order a runner: no order of another holder can have reached the runner within the gap. */
export const isGapOver = (
    { turns, unrecordedUntilMs }: ControllerRow,
    runner: string,
    holder: string,
    { earliestMs }: StoreClock,
    { turnGapMs }: LeaseRules,
): boolean => {
    const runnerLease = turns[runner];
    const lastOrderMs = Math.max(unrecordedUntilMs, runnerLease && runnerLease.holder !== holder ? runnerLease.untilMs : 0);
    return lastOrderMs === 0 || earliestMs >= lastOrderMs + turnGapMs;
};

/** The crashes that a row keeps. */
export const storedCrashesOf = (row: ControllerRow | undefined, { earliestMs }: StoreClock): readonly RunnerCrash[] =>
    (row?.crashes ?? []).map(({ id, atMs, parts }) => ({ id, ageMs: Math.max(0, earliestMs - atMs), suspects: [parts], cleared: [] }));

/** The loads without an answer that a row keeps. */
export const storedLoadsOf = (row: ControllerRow | undefined, { earliestMs }: StoreClock): readonly UnansweredLoad[] =>
    (row?.loads ?? []).map(({ untilMs, ...load }) => ({ ...load, forMs: untilMs - earliestMs })).filter(({ forMs }) => forMs > 0);
