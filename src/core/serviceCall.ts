import { randomUUID } from "node:crypto";
import type { NodeContext } from "../node/context";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import type { ServiceClient } from "../types/service";
import { Verdict } from "../types/verdict";
import type { Vm } from "../types/vm";
import { emit } from "../utils/events";
import { sha256Hex } from "../utils/hash";
import { assertInvariant } from "../utils/invariants";
import { getOrCreate } from "../utils/maps";
import { pick } from "../utils/random";
import { sleep } from "../utils/time";
import type { Claim, ClaimOutcome } from "./claims";
import { acquireClaim, claimKey, isClaimFresh, releaseClaim, settleClaim } from "./claims";
import { mayRetry, raise, toFailure } from "./failures";
import type { ServiceRecord } from "./recordSchemas";
import { RetryBudget } from "./retryBudget";

/** A caller's request to a plain service. */
export interface ServiceCall {
    readonly requestId: string;
    readonly caller: string;
    readonly service: ServiceRecord;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
    readonly idempotencyKey: string | undefined;
    /** On the monotonic clock. */
    readonly deadlineAt: number;
}

const maxAttempts = 4;
const maxClaimWriteAttempts = 7;
const claimWriteRetryDelayMs = 50;
/** Longest time for which a caller's answer is held back for the write that settles or releases its claim. */
const maxClaimWriteWaitMs = 500;

/** Whether the service record allows the call to be repeated; a call without an entry must not be repeated. */
export const isRepeatable = (service: ServiceRecord, method: string, path: string): boolean => {
    const pathWithoutQuery = path.split("?")[0];
    const entry = service.calls.find(call =>
        call.method === method && (call.path.endsWith("*") ? pathWithoutQuery!.startsWith(call.path.slice(0, -1)) : call.path === pathWithoutQuery)
    );
    return entry?.repeatable ?? false;
};

const chooseInstance = (node: NodeContext, call: ServiceCall, failedVms: ReadonlySet<string>): Vm => {
    const live = node.fleet.serviceVms(call.service.name).filter(vm => !failedVms.has(vm.id));
    const sameZone = live.filter(vm => vm.availabilityZone === node.cfg.availabilityZone);
    return pick(sameZone.length > 0 ? sameZone : live, node.random) ??
        raise(FailureKind.NoUpstream, `no live instance of service ${call.service.name}`, Verdict.NotRun, { retryAfterMs: 1_000 });
};

/** Forwards a call. One that must not be repeated is sent again only if the failed attempt provably did not run. */
const forward = async (node: NodeContext, client: ServiceClient, call: ServiceCall, repeatable: boolean, claim: Claim | undefined): Promise<ClaimOutcome> => {
    const failedVms = new Set<string>();
    let mayHaveRun = false;
    for (let attempt = 1;; attempt++) {
        const timeoutMs = call.deadlineAt - performance.now();
        if (timeoutMs <= 0) {
            return raise(FailureKind.DeadlineExpired, "before the call was forwarded", mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun);
        }
        if (claim && !isClaimFresh(claim)) {
            return raise(
                FailureKind.ClaimUnsettled,
                "the claim is too old to forward the call: the node was suspended after it took the claim",
                Verdict.MayHaveRun,
            );
        }
        assertInvariant(repeatable || !mayHaveRun, EventId.InvariantSingleForward, () => `${call.requestId} would be forwarded again although it may have run`);
        const vm = chooseInstance(node, call, failedVms);
        try {
            const headers = call.idempotencyKey === undefined ? call.headers : { ...call.headers, "idempotency-key": call.idempotencyKey };
            return await client.call(vm.url, { ...call, headers, attemptId: `${call.requestId}.${attempt}`, repeatable, timeoutMs });
        }
        catch (err) {
            const failure = toFailure(err);
            mayHaveRun ||= failure.verdict !== Verdict.NotRun;
            emit(EventId.AttemptFailed, { request: call.requestId, attempt, upstream: vm.id, kind: failure.kind, verdict: failure.verdict });
            const budget = getOrCreate(node.budgets, `service:${call.service.name}`, RetryBudget.create);
            if (
                !mayRetry(failure.verdict, repeatable) || attempt >= maxAttempts ||
                node.fleet.serviceVms(call.service.name).every(other => other.id === vm.id || failedVms.has(other.id))
            ) {
                return raise(failure.kind, failure.detail, mayHaveRun && failure.verdict === Verdict.NotRun ? Verdict.MayHaveRun : failure.verdict, failure);
            }
            if (!budget.withdraw()) {
                return raise(FailureKind.RetryBudgetSpent, failure.detail, mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun, { retryAfterMs: 1_000 });
            }
            failedVms.add(vm.id);
        }
    }
};

const writeClaimInBackground = async (node: NodeContext, write: () => Promise<void>, event: EventId, requestId: string): Promise<void> => {
    node.inProgress++;
    try {
        for (let attempt = 1;; attempt++) {
            try {
                await write();
                return;
            }
            catch (err) {
                if (attempt >= maxClaimWriteAttempts) {
                    emit(event, { request: requestId, detail: toFailure(err).detail });
                    return;
                }
                await sleep(claimWriteRetryDelayMs * 2 ** attempt);
            }
        }
    }
    finally {
        node.inProgress--;
    }
};

/**
 * Settles or releases a claim, with retries. The caller waits for the write only a short time: until it succeeds, a retry of the call is
 * answered with `may-have-run`. A stopping node waits for the write, which counts as a request in progress.
 */
const writeClaim = async (node: NodeContext, write: () => Promise<void>, event: EventId, requestId: string): Promise<void> => {
    const waitAbort = new AbortController();
    await Promise.race([writeClaimInBackground(node, write, event, requestId), sleep(maxClaimWriteWaitMs, waitAbort.signal)]);
    waitAbort.abort();
};

/**
 * Answers a call to a plain service. A call that must not be repeated runs at most once: with an idempotency key, a claim in the table guards it
 * across all nodes.
 */
export const callService = async (node: NodeContext, client: ServiceClient, call: ServiceCall): Promise<ClaimOutcome> => {
    const repeatable = isRepeatable(call.service, call.method, call.path);
    getOrCreate(node.budgets, `service:${call.service.name}`, RetryBudget.create).deposit();
    if (repeatable || call.idempotencyKey === undefined) {
        return forward(node, client, call, repeatable, undefined);
    }
    const key = claimKey(call.caller, call.service.name, call.idempotencyKey);
    const requestHash = sha256Hex(`${call.method}\n${call.path}\n${sha256Hex(call.body.toString("base64"))}`);
    const result = await acquireClaim(node.table, key, node.cfg.nodeId, requestHash, randomUUID());
    if (result.kind === "settled") {
        return result.outcome;
    }
    const { claim } = result;
    try {
        const outcome = await forward(node, client, call, false, claim);
        await writeClaim(node, () => settleClaim(node.table, claim, outcome), EventId.ClaimOutcomeLost, call.requestId);
        return outcome;
    }
    catch (err) {
        if (toFailure(err).verdict === Verdict.NotRun) {
            await writeClaim(node, () => releaseClaim(node.table, claim), EventId.ClaimReleaseFailed, call.requestId);
        }
        throw err;
    }
};
