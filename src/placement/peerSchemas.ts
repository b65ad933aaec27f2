import { z } from "zod";
import { isHostAddress } from "../core/upstreamFault";
import { createStoreVersion, maxStoreCounter, maxStoreEra } from "../types/storeVersion";

/** A number that is neither negative nor infinite. */
export const quantity = z.number().min(0);
export const count = z.number().int().min(0);
/** Time since something happened; it may be slightly negative, as of two readings of a clock. */
export const age = z.number().transform(ms => Math.max(0, ms));
/** A point in the history of the store. */
export const storeVersion = count.max(createStoreVersion(maxStoreEra, maxStoreCounter));
export const hostAddress = z.string().refine(isHostAddress, "must be IP:PORT");
