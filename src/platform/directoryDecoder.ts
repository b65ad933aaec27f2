import { z } from "zod";
import { findUpstreamFault } from "../core/upstreamFault";
import { UpstreamFault } from "../types/upstreamFault";
import type { UpstreamServer } from "../types/upstreamServer";
import { UpstreamState } from "../types/upstreamServer";
import { localCopiesSchema, parseJson, parseWith, residentModelSchema } from "./schemas";

const serverSchema = z.object({
    service: z.string(),
    addr: z.string(),
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

/** Decodes a directory row; undefined if it names no upstream to use, and `onFault` is then called with the reason. */
export const decodeServer = (id: string, bytes: Buffer, onFault: (fault: UpstreamFault) => void = () => undefined): UpstreamServer | undefined => {
    const result = parseWith(serverSchema, parseJson(bytes));
    if ("faults" in result) {
        onFault(UpstreamFault.Form);
        return undefined;
    }
    const { service, addr, zone, version, slots, state, models, atHand: copies, born, seq, remainingMs } = result.value;
    const server: UpstreamServer = {
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
        remainingMs: remainingMs === undefined ? undefined : Math.max(0, remainingMs),
    };
    const fault = findUpstreamFault(server);
    if (fault !== undefined) {
        onFault(fault);
    }
    return fault === undefined ? server : undefined;
};
