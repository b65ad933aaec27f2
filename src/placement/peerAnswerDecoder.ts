import { z } from "zod";
import { FailureError } from "../core/failures";
import { findUpstreamFault } from "../core/upstreamFault";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import type { PeerAnswer, PlacementAnswer } from "../types/placement";
import type { Permit } from "../types/sendPermit";
import { PlaceLack } from "../types/sendPermit";
import { UpstreamFault } from "../types/upstreamFault";
import type { DirectoryChange, UpstreamServer } from "../types/upstreamServer";
import { UpstreamState } from "../types/upstreamServer";
import { Verdict } from "../types/verdict";
import { emit } from "../utils/events";
import { age, brittleUpstreams, count, hostAddress, leavingUpstreams, quantity, sharedSpeeds, storeVersion, usageAnswers } from "./peerSchemas";

const texts = z.array(z.string());

const serverSchema = z.object({
    id: z.string(),
    service: z.string(),
    address: z.string(),
    availabilityZone: z.string(),
    softwareVersion: z.string().optional(),
    slots: z.number(),
    state: z.enum(UpstreamState),
    models: z.array(z.object({ name: z.string(), version: z.number(), adapters: texts })),
    inMemory: texts,
    onDisk: texts,
    bornAt: z.number(),
    acceptedOrders: z.number(),
    remainingMs: z.number().optional(),
});

/** An entry is checked by itself, so that an odd one does not hide the others. */
const changeSchema = z.object({ id: z.string(), version: storeVersion, server: z.unknown().optional() });

const factsSchema = z.object({
    source: z.string(),
    revision: count,
    facts: z.object({
        crashes: z.array(z.object({ id: z.string(), ageMs: age, suspects: z.array(texts), cleared: texts })),
        limits: z.array(z.object({ runner: z.string(), perSecond: quantity.optional(), ageMs: age })),
        leaving: leavingUpstreams.optional(),
        brittle: brittleUpstreams.optional(),
        speeds: sharedSpeeds.optional(),
    }),
});

const answerSchema = z.object({
    peers: z.array(z.object({ address: hostAddress, zone: z.string(), cores: quantity })).optional(),
    peersVersion: count,
    source: z.string().optional(),
    nodeCount: count,
    configVersion: z.number(),
    config: z.string().optional(),
    directoryVersion: storeVersion,
    epoch: storeVersion.optional(),
    controllerAgoMs: quantity.optional(),
    announced: z.object({ peerAddress: hostAddress, epoch: storeVersion }).optional(),
    confirmedAgoMs: quantity.optional(),
    configAgeMs: quantity.optional(),
    yielding: z.object({ version: storeVersion }).optional(),
    changes: z.array(changeSchema),
    isWholeDirectory: z.boolean().optional(),
    adapters: z.object({ revision: count, byRunner: z.record(z.string(), texts) }).optional(),
    loads: z.record(z.string(), z.tuple([quantity, quantity])).optional(),
    facts: factsSchema.optional(),
});

const placementSchema = z.object({
    runner: z.string().optional(),
    readyInMs: quantity,
    isComing: z.boolean(),
    isExpected: z.boolean().optional(),
    isUncertain: z.boolean().optional(),
});

const permitSchema = z.object({
    isGranted: z.boolean(),
    waitMs: quantity,
    isFull: z.boolean().optional(),
    retryAfterMs: quantity.optional(),
    // A value that a later release adds is no reason to drop the answer.
    lack: z.enum(PlaceLack).optional().catch(undefined),
    hasTerms: z.boolean().optional(),
    usage: usageAnswers.optional(),
});

const decodeWith = <T>(schema: z.ZodType<T>, answer: unknown): T => {
    const result = schema.safeParse(answer);
    if (!result.success) {
        const faults = result.error.issues.slice(0, 5).map(({ path, message }) => `${path.join(".")}: ${message}`);
        throw FailureError.create({ kind: FailureKind.UpstreamFailed, verdict: Verdict.Ran, detail: `answer of an unexpected form: ${faults.join("; ")}` });
    }
    return result.data;
};

/** The change that a peer tells; an entry that names no upstream to use counts as a removal, as it does in the store. */
const toChange = ({ id, version, server }: z.infer<typeof changeSchema>): DirectoryChange => {
    if (server === undefined) {
        return { id, version };
    }
    const result = serverSchema.safeParse(server);
    const decoded: UpstreamServer | undefined = result.data;
    const fault = decoded === undefined ? UpstreamFault.Form : decoded.id === id ? findUpstreamFault(decoded) : UpstreamFault.Id;
    if (fault !== undefined) {
        emit(EventId.PeerEntryIgnored, { upstream: id, rowVersion: version, reason: fault });
        return { id, version };
    }
    return { id, version, server: decoded };
};

/** Checks a peer's answer to a report; throws a failure if it cannot be used. */
export const decodePeerAnswer = (answer: unknown): PeerAnswer => {
    const decoded = decodeWith(answerSchema, answer);
    return { ...decoded, changes: decoded.changes.map(toChange) };
};

/** Checks the controller's answer to a request for a runner. */
export const decodePlacementAnswer = (answer: unknown): PlacementAnswer => decodeWith(placementSchema, answer);

/** Checks a peer's answer to a request for a turn. */
export const decodePermit = (answer: unknown): Permit => decodeWith(permitSchema, answer);
