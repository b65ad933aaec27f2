import { z } from "zod";
import type { UpstreamServer } from "../types/upstreamServer";
import { UpstreamState } from "../types/upstreamServer";
import { localCopiesSchema, parseJson, parseWith, residentModelSchema } from "./schemas";

const serverSchema = z.object({
    service: z.string(),
    addr: z.string().regex(/^[^:\s]+:\d+$/),
    zone: z.string(),
    /** The version of the runner's software, not of the row or of weights. */
    version: z.string().optional(),
    slots: z.number(),
    state: z.enum(["ready", "draining"]),
    models: z.array(residentModelSchema).default([]),
    atHand: localCopiesSchema,
    born: z.number().int().optional(),
    /** The count of accepted orders, not a position in a sequence of rows. */
    seq: z.number().default(0),
    remainingMs: z.number().optional(),
});

/** Decodes a directory row; undefined if it does not describe a usable upstream. */
export const decodeServer = (id: string, bytes: Buffer): UpstreamServer | undefined => {
    const result = parseWith(serverSchema, parseJson(bytes));
    if ("faults" in result) {
        return undefined;
    }
    const { service, addr, zone, version, slots, state, models, atHand: copies, born, seq, remainingMs } = result.value;
    return {
        id,
        service,
        address: addr,
        availabilityZone: zone,
        softwareVersion: version,
        slots,
        state: state === "ready" ? UpstreamState.Ready : UpstreamState.Draining,
        models,
        inMemory: copies.inMemory,
        onDisk: copies.onDisk,
        bornAt: born ?? 0,
        acceptedOrders: seq,
        remainingMs,
    };
};
