import { toFailure } from "../core/failures";
import type { UsageCounters } from "../core/usageCounters";
import { EventId } from "../types/eventId";
import type { UsageAnswer } from "../types/usageAnswer";
import { UsageCallResult } from "../types/usageCallResult";
import type { UsageCharge } from "../types/usageCharge";
import { UsageOutcome } from "../types/usageOutcome";
import { startAttentiveTimeout } from "../utils/attentiveTimeout";
import { emit } from "../utils/events";
import { getOrCreate } from "../utils/maps";
import { decodePermit } from "./peerAnswerDecoder";
import type { PeerClients } from "./peerClients";
import type { UsageReporter } from "./usageReporter";

/** Charges that arrive within this time are sent in one call. */
const batchMs = 2;
/** Charges of one call at most. */
export const maxUsageCharges = 512;
/**
 * A node that does not answer within this time, while this process can read its answer, is taken not to be reached. The event loop of a busy node on a small VM has
 * turns of 250 to 540 ms, and a request that waits for it is served late instead of refused.
 */
const homeTimeoutMs = 550;
/** A deputy may have to wait for the home node first. */
const deputyTimeoutMs = 650;
/** Time for which a node that was not reached is not asked: short, as a pause of its process may be the cause. */
const avoidedMs = 500;
/** Late answers without one in time between them after which a node is taken not to be reached. */
const maxLateCalls = 2;

/** Whom charges are sent to, and in which role. */
export interface UsageTarget {
    readonly address: string;
    readonly isDeputy: boolean;
    /** Whether the node must answer by itself. */
    readonly isFinal: boolean;
}

interface PendingCharge {
    readonly charge: UsageCharge;
    readonly resolve: (answer: UsageAnswer | undefined) => void;
}

/** Sends charges to the nodes that decide on them: those that arrive close together in one call, none to a node that was not reached lately. */
export class UsageSender {
    private readonly batches = new Map<string, PendingCharge[]>();
    private readonly failedUntil = new Map<string, number>();
    /** Calls in a row that were not answered in time, by node. */
    private readonly lateCalls = new Map<string, number>();

    private constructor(
        private readonly clients: PeerClients,
        private readonly zone: () => string,
        private readonly reporter: UsageReporter,
        private readonly counters: UsageCounters,
    ) {}

    static create(clients: PeerClients, zone: () => string, reporter: UsageReporter, counters: UsageCounters): UsageSender {
        return new UsageSender(clients, zone, reporter, counters);
    }

    /** Sends a charge; undefined if the node was not reached in time. */
    send(target: UsageTarget, charge: UsageCharge): Promise<UsageAnswer | undefined> {
        const { address, isDeputy, isFinal } = target;
        const now = performance.now();
        if ((this.failedUntil.get(address) ?? 0) > now) {
            return Promise.resolve(undefined);
        }
        this.failedUntil.delete(address);
        const key = `${address} ${isDeputy} ${isFinal}`;
        return new Promise(resolve => {
            const batch = getOrCreate(this.batches, key, () => {
                setTimeout(() => void this.flush(key, target), batchMs);
                return [];
            });
            batch.push({ charge, resolve });
            if (batch.length >= maxUsageCharges) {
                void this.flush(key, target);
            }
        });
    }

    private async flush(key: string, target: UsageTarget): Promise<void> {
        const batch = this.batches.get(key);
        if (!batch) {
            return;
        }
        this.batches.delete(key);
        const { address, isDeputy } = target;
        let isLate = false;
        const stopWaiting = startAttentiveTimeout(isDeputy ? deputyTimeoutMs : homeTimeoutMs, () => {
            isLate = true;
            this.onUnreached(address, UsageCallResult.Late, batch.length, "no answer in time");
            batch.forEach(({ resolve }) => resolve(undefined));
        });
        try {
            const answers = await this.call(target, batch);
            if (isLate) {
                this.returnLate(batch, answers);
            }
            else if (answers) {
                this.lateCalls.delete(address);
                this.counters.onCall(UsageCallResult.Answered);
            }
            else {
                this.onUnreached(address, UsageCallResult.NotSupported, batch.length, "the answer says nothing of usage");
            }
            batch.forEach(({ resolve }, index) => resolve(answers?.[index]));
        }
        catch (err) {
            if (!isLate) {
                this.onUnreached(address, UsageCallResult.Failed, batch.length, toFailure(err).detail);
            }
            batch.forEach(({ resolve }) => resolve(undefined));
        }
        finally {
            stopWaiting();
        }
    }

    /** The answers to the charges, in their order; undefined if the node knows no usage limits. */
    private async call({ address, isFinal }: UsageTarget, batch: readonly PendingCharge[]): Promise<readonly UsageAnswer[] | undefined> {
        const usage = { zone: this.zone(), charges: batch.map(({ charge }) => charge), isFinal };
        // The permit itself is of no runner: a node of an earlier release, which ignores `usage`, grants it without effect.
        const { usage: answers } = decodePermit(await this.clients.get(address).permit.mutate({ runner: "", maxWaitMs: 0, usage }));
        return answers?.length === batch.length ? answers : undefined;
    }

    /** What is admitted after the request has gone on without it is returned. */
    private returnLate(batch: readonly PendingCharge[], answers: readonly UsageAnswer[] | undefined): void {
        answers?.forEach(({ outcome, node, bucket }, index) => {
            if (outcome === UsageOutcome.Admitted && node !== undefined && bucket !== undefined) {
                const { customer, units } = batch[index]!.charge;
                this.reporter.onReturned(node, { customer, units, bucket });
            }
        });
    }

    private onUnreached(address: string, result: UsageCallResult, charges: number, detail: string): void {
        this.counters.onCall(result);
        const now = performance.now();
        this.failedUntil.forEach((until, other) => until <= now && this.failedUntil.delete(other));
        const lateCalls = result === UsageCallResult.Late ? (this.lateCalls.get(address) ?? 0) + 1 : maxLateCalls;
        const isAvoided = lateCalls >= maxLateCalls;
        if (isAvoided) {
            this.lateCalls.delete(address);
            this.failedUntil.set(address, now + avoidedMs);
        }
        else {
            this.lateCalls.set(address, lateCalls);
        }
        emit(EventId.UsageNodeUnreached, { peer: address, result, charges, avoidedMs: isAvoided ? avoidedMs : 0, detail });
    }
}
