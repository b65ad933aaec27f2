import { FailureKind } from "../types/failureKind";
import type { Table } from "../types/table";
import { CommitKind } from "../types/table";
import { Verdict } from "../types/verdict";
import { sha256Hex } from "../utils/hash";
import { raise, toFailure } from "./failures";

/** State of a claim on a request that must not be executed twice. */
export enum ClaimState {
    /** A node may be executing the request, or may have failed while executing it. */
    Claimed = "claimed",
    /** The outcome is recorded. */
    Settled = "settled",
}

/** The recorded answer of a settled claim. */
export interface ClaimOutcome {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    /** Body in base64. */
    readonly body: string;
}

/** A table row that allows exactly one attempt across all nodes to forward a request. */
export interface ClaimRow {
    readonly nonce: string;
    readonly node: string;
    readonly requestHash: string;
    readonly at: number;
    readonly state: ClaimState;
    readonly outcome?: ClaimOutcome;
}

/** Result of acquiring a claim: the claim, or the outcome that an earlier attempt recorded. */
export type ClaimResult =
    | { readonly kind: "granted"; readonly claim: Claim; }
    | { readonly kind: "settled"; readonly outcome: ClaimOutcome; };

/** A granted claim. */
export interface Claim {
    readonly key: string;
    readonly row: ClaimRow;
    readonly version: number;
    /** Start of the acquisition, on the monotonic clock. */
    readonly startedAt: number;
}

/** Key prefix of the claim rows. */
export const claimPrefix = "claim/";
/** Longest delay between acquiring a claim and forwarding; far below the retention time of claims. */
export const maxForwardDelayMs = 30_000;
const maxReadAttempts = 3;

/** Row key of a claim. The hash includes the caller, so that idempotency keys of different callers never collide. */
export const claimKey = (caller: string, service: string, idempotencyKey: string): string =>
    `${claimPrefix}${sha256Hex(`${caller}\n${service}\n${idempotencyKey}`)}`;

/** Maps a claim row that another attempt wrote to its recorded outcome or a failure. */
const resolveExistingClaim = (row: ClaimRow, requestHash: string): ClaimResult => {
    if (row.requestHash !== requestHash) {
        return raise(FailureKind.ClaimMismatch, "the method, path or body differs from the first request with this key");
    }
    if (row.state === ClaimState.Settled && row.outcome) {
        return { kind: "settled", outcome: row.outcome };
    }
    return raise(FailureKind.ClaimUnsettled, "an earlier attempt with this key has no recorded outcome", Verdict.MayHaveRun);
};

/**
 * Claims a request before it is forwarded. If the insert is not answered, the nonce is read back to find out whether it took effect; if that is
 * not answered either, the request is not forwarded.
 */
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
    for (let attempt = 0; attempt < maxReadAttempts; attempt++) {
        try {
            const found = await table.read(key);
            if (!found) {
                // The insert may still take effect later. Nothing runs even then, since the request is not forwarded.
                return raise(FailureKind.ClaimUnavailable, "the claim row was not written");
            }
            const other = found.value as ClaimRow;
            if (other.nonce === nonce) {
                return { kind: "granted", claim: { key, row, version: found.version, startedAt } };
            }
            return resolveExistingClaim(other, requestHash);
        }
        catch (err) {
            if (toFailure(err).kind !== FailureKind.TableUnavailable) {
                throw err;
            }
        }
    }
    return raise(FailureKind.ClaimUnavailable, "the table did not answer when the claim was read back");
};

/** Whether the holder may still forward; a process that was suspended for long may have lost the claim. */
export const isClaimFresh = (claim: Claim): boolean =>
    performance.now() - claim.startedAt < maxForwardDelayMs && Math.abs(Date.now() - claim.row.at) < maxForwardDelayMs;

/** Records the outcome of a claimed request. */
export const settleClaim = async (table: Table, claim: Claim, outcome: ClaimOutcome): Promise<void> => {
    const value: ClaimRow = { ...claim.row, state: ClaimState.Settled, outcome };
    await table.commit({ conditions: [{ key: claim.key, version: claim.version }], writes: [{ key: claim.key, value }] });
};

/** Deletes a claim once it is proven that the request did not run. */
export const releaseClaim = async (table: Table, claim: Claim): Promise<void> => {
    await table.commit({ conditions: [{ key: claim.key, version: claim.version }], writes: [{ key: claim.key }] });
};
