import { z } from "zod";
import { isHostAddress } from "../core/upstreamFault";
import { EventId } from "../types/eventId";
import { createStoreVersion, maxStoreCounter, maxStoreEra } from "../types/storeVersion";
import { UpstreamFault } from "../types/upstreamFault";
import type { LeavingUpstream } from "../types/upstreamWord";
import { emit } from "../utils/events";

/** A number that is neither negative nor infinite. */
export const quantity = z.number().min(0);
export const count = z.number().int().min(0);
/** Time since something happened; it may be slightly negative, as of two readings of a clock. */
export const age = z.number().transform(ms => Math.max(0, ms));
/** A point in the history of the store. */
export const storeVersion = count.max(createStoreVersion(maxStoreEra, maxStoreCounter));
export const hostAddress = z.string().refine(isHostAddress, "must be IP:PORT");

/** Limits on the upstreams that said that they are leaving, in one report or answer. */
const maxLeavingUpstreams = 8_192;
const maxUpstreamIdLength = 200;
const leavingUpstream = z.object({ id: z.string().min(1).max(maxUpstreamIdLength), bornAt: count, ageMs: age });

const toLeavingUpstreams = (entries: readonly unknown[]): readonly LeavingUpstream[] =>
    entries.slice(0, maxLeavingUpstreams).flatMap(entry => {
        const result = leavingUpstream.safeParse(entry);
        if (!result.success) {
            emit(EventId.PeerEntryIgnored, { reason: UpstreamFault.Form });
        }
        return result.success ? [result.data] : [];
    });

/** Upstreams that said that they are leaving. An entry is checked by itself, so that an odd one does not hide the others. */
export const leavingUpstreams = z.array(z.unknown()).transform(toLeavingUpstreams);
