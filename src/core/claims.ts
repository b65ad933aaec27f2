import { FailureKind } from "../types/failureKind";
import type { Table } from "../types/table";
import { CommitKind } from "../types/table";
import { Verdict } from "../types/verdict";
import { sha256Hex } from "../utils/hash";
import { raise, toFailure } from "./failures";

/** State of a claim on a request that must not be repeated. */
export enum ClaimState {
    /** Somebody may be running the request, or may have died while running it. */
    Claimed = "claimed",
    /** The outcome is recorded. */
    Settled = "settled",
}

/** The recorded answer of a settled claim. */
export interface ClaimOutcome {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    /** The body in base64. */
    readonly body: string;
}

/** A row that lets one attempt, of all nodes, forward a request. */
export interface ClaimRow {
    readonly nonce: string;
    readonly node: string;
    readonly requestHash: string;
    readonly at: number;
    readonly state: ClaimState;
    readonly outcome?: ClaimOutcome;
}

/** What the holder of a claim may do. */
export type ClaimResult =
    | { readonly kind: "granted"; readonly claim: Claim; }
    | { readonly kind: "settled"; readonly outcome: ClaimOutcome; };

/** A granted claim. */
export interface Claim {
    readonly key: string;
    readonly row: ClaimRow;
    readonly version: number;
    /** When the claim was asked for, by the monotonic clock. */
    readonly startedAt: number;
}

/** Prefix of the claim rows. */
export const claimPrefix = "claim/";
/** How long a holder may wait before it forwards; far below the time for which claims are kept. */
export const maxForwardDelayMs = 30_000;
const maxReads = 3;

/** Row of a claim; one caller cannot meet another's keys. */
export const claimKey = (caller: string, service: string, idempotencyKey: string): string =>
    `${claimPrefix}${sha256Hex(`${caller}\n${service}\n${idempotencyKey}`)}`;

/** Resolves what an existing row means to a request that did not write it. */
const resolveForeign = (row: ClaimRow, requestHash: string): ClaimResult => {
    if (row.requestHash !== requestHash) {
        return raise(FailureKind.ClaimMismatch, "the method, path or body differs from the first request with this key");
    }
    if (row.state === ClaimState.Settled && row.outcome) {
        return { kind: "settled", outcome: row.outcome };
    }
    return raise(FailureKind.ClaimUnsettled, "an earlier attempt with this key has no recorded outcome", Verdict.MayHaveRun);
};

/** Claims a request before it is forwarded. An unanswered insert is resolved by reading the nonce back; without an answer, nothing runs. */
export const acquireClaim = async (table: Table, key: string, node: string, requestHash: string, nonce: string): Promise<ClaimResult> => {
    const startedAt = performance.now();
    const row: ClaimRow = { nonce, node, requestHash, at: Date.now(), state: ClaimState.Claimed };
    try {
        const result = await table.commit({ conditions: [{ key, version: 0 }], writes: [{ key, value: row }] });
        if (result.kind === CommitKind.Committed) {
            return { kind: "granted", claim: { key, row, version: result.version, startedAt } };
        }
    }
    catch (err) {
        if (toFailure(err).verdict === Verdict.NotRun) {
            return raise(FailureKind.ClaimUnavailable, toFailure(err).detail);
        }
    }
    for (let attempt = 0; attempt < maxReads; attempt++) {
        try {
            const found = await table.read(key);
            if (!found) {
                // The insert may still take effect later; the request is not forwarded, so nothing runs.
                return raise(FailureKind.ClaimUnavailable, "the claim was not written");
            }
            const other = found.value as ClaimRow;
            if (other.nonce === nonce) {
                return { kind: "granted", claim: { key, row, version: found.version, startedAt } };
            }
            return resolveForeign(other, requestHash);
        }
        catch (err) {
            if (toFailure(err).kind !== FailureKind.TableUnavailable) {
                throw err;
            }
        }
    }
    return raise(FailureKind.ClaimUnavailable, "the table does not answer");
};

/** Whether a holder may still forward: one that was paused for long may no longer hold the claim. */
export const isClaimFresh = (claim: Claim): boolean =>
    performance.now() - claim.startedAt < maxForwardDelayMs && Math.abs(Date.now() - claim.row.at) < maxForwardDelayMs;

/** Records the outcome of a claimed request. */
export const settleClaim = async (table: Table, claim: Claim, outcome: ClaimOutcome): Promise<void> => {
    const value: ClaimRow = { ...claim.row, state: ClaimState.Settled, outcome };
    await table.commit({ conditions: [{ key: claim.key, version: claim.version }], writes: [{ key: claim.key, value }] });
};

/** Gives a claim back after proof that the request did not run. */
export const releaseClaim = async (table: Table, claim: Claim): Promise<void> => {
    await table.commit({ conditions: [{ key: claim.key, version: claim.version }], writes: [{ key: claim.key }] });
};
