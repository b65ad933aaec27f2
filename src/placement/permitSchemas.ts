import { z } from "zod";
import { maxPartIdLength } from "../forward/suspectParts";
import { hostAddress, quantity, returnedUsage, usageRequest } from "./peerSchemas";

const runnerKey = z.string().max(maxPartIdLength);
const generationSchema = z.object({
    tokens: quantity,
    kvTokens: quantity,
    prefillMs: quantity,
    gapMs: z.number().positive().optional(),
    isUrgent: z.boolean(),
    isSent: z.boolean(),
    customer: z.string().max(maxPartIdLength).optional(),
    unplacedTokens: quantity,
});
const placeSchema = z.object({
    id: z.string().max(maxPartIdLength),
    node: hostAddress,
    holdMs: quantity,
    slots: quantity,
    share: z.number().positive().max(1),
    maxRejectionsPerS: quantity,
    load: quantity,
    unplaced: quantity,
    maxQueueMs: z.number(),
    dueInMs: z.number(),
    priority: z.number(),
    generation: generationSchema.optional(),
});
/** A request for a turn, a place or the admission of charges. */
export const permitSchema = z.object({
    runner: runnerKey,
    perSecond: quantity.optional(),
    maxWaitMs: z.number(),
    place: placeSchema.optional(),
    usage: usageRequest.optional(),
});
/** Places and charges that are returned. */
export const placeReportSchema = z.object({
    node: hostAddress,
    returned: z.array(z.object({ runner: runnerKey, id: z.string().max(maxPartIdLength).optional(), isRejected: z.boolean() })),
    unplaced: z.array(z.object({ runner: runnerKey, count: quantity, tokens: quantity.optional() })),
    usage: returnedUsage.optional(),
});
