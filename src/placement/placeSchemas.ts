import { z } from "zod";
import { maxPartIdLength } from "../forward/suspectParts";
import { hostAddress, quantity } from "./peerSchemas";

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
/** A request for a turn or a place. */
export const permitSchema = z.object({ runner: runnerKey, perSecond: quantity.optional(), maxWaitMs: z.number(), place: placeSchema.optional() });
/** What a node tells of the places that it holds. */
export const placeReportSchema = z.object({
    node: hostAddress,
    returned: z.array(z.object({ runner: runnerKey, id: z.string().max(maxPartIdLength).optional(), isRejected: z.boolean() })),
    unplaced: z.array(z.object({ runner: runnerKey, count: quantity, tokens: quantity.optional() })),
});
