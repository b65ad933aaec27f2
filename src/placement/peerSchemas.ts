import { z } from "zod";
import { isHostAddress } from "../core/upstreamFault";
import { EventId } from "../types/eventId";
import type { SharedSpeed } from "../types/sharedSpeed";
import { SpeedKind } from "../types/speedKind";
import { createStoreVersion, maxStoreCounter, maxStoreEra } from "../types/storeVersion";
import { UpstreamFault } from "../types/upstreamFault";
import type { BrittleUpstream, LeavingUpstream } from "../types/upstreamWord";
import { UsageOutcome } from "../types/usageOutcome";
import { emit } from "../utils/events";

/** A number that is neither negative nor infinite. */
export const quantity = z.number().min(0);
export const count = z.number().int().min(0);
/** Time since something happened; it may be slightly negative, as of two readings of a clock. */
export const age = z.number().transform(ms => Math.max(0, ms));
/** A point in the history of the store. */
export const storeVersion = count.max(createStoreVersion(maxStoreEra, maxStoreCounter));
export const hostAddress = z.string().refine(isHostAddress, "must be IP:PORT");

/** Limits on the charges of one message. */
const maxCharges = 2_048;
const maxCustomerLength = 1_024;
const maxBucketLength = 64;
const customer = z.string().max(maxCustomerLength);

/** Charges that the asked node is to admit. */
export const usageRequest = z.object({
    zone: z.string(),
    charges: z.array(z.object({ customer, units: quantity, perSecond: quantity, burst: quantity, configVersion: z.number() })).max(maxCharges),
    isFinal: z.boolean(),
});
/** Answers to charges, in their order. */
export const usageAnswers = z.array(z.object({
    outcome: z.enum(UsageOutcome),
    retryAfterMs: quantity.optional(),
    node: hostAddress.optional(),
    bucket: z.string().max(maxBucketLength).optional(),
})).max(maxCharges);
/** Charges that are returned. */
export const returnedUsage = z.array(z.object({ customer, bucket: z.string().max(maxBucketLength), units: quantity })).max(maxCharges);

/** Limits on the upstreams that one list of a report or answer names. */
const maxListedUpstreams = 8_192;
const maxUpstreamIdLength = 200;
/** Longer names are not those of services and models. */
const maxNameLength = 512;
const leavingUpstream = z.object({ id: z.string().min(1).max(maxUpstreamIdLength), bornAt: count, ageMs: age });
const brittleUpstream = leavingUpstream.extend({ service: z.string().optional(), maxRejectionsPerS: count.optional() });

const sharedSpeed = z.object({
    kind: z.enum(SpeedKind),
    service: z.string().min(1).max(maxNameLength),
    model: z.string().max(maxNameLength).optional(),
    base: z.number(),
    slope: z.number(),
    ageMs: age,
});

/** A list whose entries are checked one by one, so that an odd one does not hide the others. */
const listOf = <T>(entrySchema: z.ZodType<T>) =>
    z.array(z.unknown()).transform(entries =>
        entries.slice(0, maxListedUpstreams).flatMap(entry => {
            const result = entrySchema.safeParse(entry);
            if (!result.success) {
                emit(EventId.PeerEntryIgnored, { reason: UpstreamFault.Form });
            }
            return result.success ? [result.data] : [];
        })
    );

/** Upstreams that said that they are leaving. */
export const leavingUpstreams = listOf<LeavingUpstream>(leavingUpstream);
/** Upstreams that said that they are brittle, or no longer say so. */
export const brittleUpstreams = listOf<BrittleUpstream>(brittleUpstream);
/** Speeds that nodes learned. */
export const sharedSpeeds = listOf<SharedSpeed>(sharedSpeed);
