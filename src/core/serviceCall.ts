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

/** A call to a plain service as a caller asked for it. */
export interface ServiceCall {
    readonly requestId: string;
    readonly caller: string;
    readonly service: ServiceRecord;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
    readonly idempotencyKey: string | undefined;
    /** By the monotonic clock. */
    readonly deadlineAt: number;
}

const maxAttempts = 4;
const persistAttempts = 7;
const persistPauseMs = 50;
/** How long a caller's answer waits for the write that ends its claim. */
const persistPatienceMs = 500;

/** Whether the record says that the call may be repeated; a call that no entry names may not. */
export const isRepeatable = (service: ServiceRecord, method: string, path: string): boolean => {
    const bare = path.split("?")[0];
    const entry = service.calls.find(call =>
        call.method === method && (call.path.endsWith("*") ? bare!.startsWith(call.path.slice(0, -1)) : call.path === bare)
    );
    return entry?.repeatable ?? false;
};

const chooseInstance = (node: NodeContext, call: ServiceCall, avoid: ReadonlySet<string>): Vm => {
    const live = node.fleet.serviceVms(call.service.name).filter(vm => !avoid.has(vm.id));
    const near = live.filter(vm => vm.availabilityZone === node.cfg.availabilityZone);
    return pick(near.length > 0 ? near : live, node.random) ??
        raise(FailureKind.NoUpstream, `no live instance of ${call.service.name}`, Verdict.NotRun, { retryAfterMs: 1_000 });
};

/** Forwards a call; one that must not be repeated leaves again only on proof that it did not run. */
const forward = async (node: NodeContext, client: ServiceClient, call: ServiceCall, repeatable: boolean, claim: Claim | undefined): Promise<ClaimOutcome> => {
    const avoid = new Set<string>();
    let mayHaveRun = false;
    for (let attempt = 1;; attempt++) {
        const timeoutMs = call.deadlineAt - performance.now();
        if (timeoutMs <= 0) {
            return raise(FailureKind.DeadlineExpired, "before the call was forwarded", mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun);
        }
        if (claim && !isClaimFresh(claim)) {
            return raise(FailureKind.ClaimUnsettled, "the node was paused after it claimed the call", Verdict.MayHaveRun);
        }
        assertInvariant(repeatable || !mayHaveRun, EventId.InvariantSingleForward, () => `${call.requestId} would be forwarded twice`);
        const vm = chooseInstance(node, call, avoid);
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
                node.fleet.serviceVms(call.service.name).every(other => other.id === vm.id || avoid.has(other.id))
            ) {
                return raise(failure.kind, failure.detail, mayHaveRun && failure.verdict === Verdict.NotRun ? Verdict.MayHaveRun : failure.verdict, failure);
            }
            if (!budget.withdraw()) {
                return raise(FailureKind.RetryBudgetSpent, failure.detail, mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun, { retryAfterMs: 1_000 });
            }
            avoid.add(vm.id);
        }
    }
};

const persistInBackground = async (node: NodeContext, step: () => Promise<void>, event: EventId, requestId: string): Promise<void> => {
    node.inProgress++;
    try {
        for (let attempt = 1;; attempt++) {
            try {
                await step();
                return;
            }
            catch (err) {
                if (attempt >= persistAttempts) {
                    emit(event, { request: requestId, detail: toFailure(err).detail });
                    return;
                }
                await sleep(persistPauseMs * 2 ** attempt);
            }
        }
    }
    finally {
        node.inProgress--;
    }
};

/**
 * Writes the end of a claim. The caller waits for it only a short time: while the table is slow, a repeat of the call is told that it may have
 * run. A stopping node waits for the write.
 */
const persist = async (node: NodeContext, step: () => Promise<void>, event: EventId, requestId: string): Promise<void> => {
    const patience = new AbortController();
    await Promise.race([persistInBackground(node, step, event, requestId), sleep(persistPatienceMs, patience.signal)]);
    patience.abort();
};

/** Answers a call to a plain service, at most once where it must not be repeated. */
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
        await persist(node, () => settleClaim(node.table, claim, outcome), EventId.ClaimOutcomeLost, call.requestId);
        return outcome;
    }
    catch (err) {
        if (toFailure(err).verdict === Verdict.NotRun) {
            await persist(node, () => releaseClaim(node.table, claim), EventId.ClaimReleaseFailed, call.requestId);
        }
        throw err;
    }
};
