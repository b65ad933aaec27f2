import { toFailure } from "../core/failures";
import { EventId } from "../types/eventId";
import type { ReturnedUsage } from "../types/returnedUsage";
import { emit } from "../utils/events";
import { getOrCreate } from "../utils/maps";
import type { PeerClients } from "./peerClients";

/** Units that are returned within this time are told together. */
const batchMs = 20;
/** Entries of one message at most; units beyond them are not returned. */
const maxEntries = 2_048;

/** Tells home nodes which charges were for requests that did not run. */
export class UsageReporter {
    private readonly batches = new Map<string, Map<string, ReturnedUsage>>();

    private constructor(
        private readonly clients: PeerClients,
        private readonly self: () => string,
        private readonly onOwn: (returned: ReturnedUsage) => void,
    ) {}

    /** Creates a reporter; `onOwn` takes what is returned to this node itself. */
    static create(clients: PeerClients, self: () => string, onOwn: (returned: ReturnedUsage) => void): UsageReporter {
        return new UsageReporter(clients, self, onOwn);
    }

    /** Returns units to the node that admitted them. */
    onReturned(address: string, returned: ReturnedUsage): void {
        if (address === this.self()) {
            this.onOwn(returned);
            return;
        }
        const batch = getOrCreate(this.batches, address, () => {
            setTimeout(() => this.send(address), batchMs);
            return new Map<string, ReturnedUsage>();
        });
        const key = `${returned.bucket} ${returned.customer}`;
        const units = (batch.get(key)?.units ?? 0) + returned.units;
        if (batch.has(key) || batch.size < maxEntries) {
            batch.set(key, { ...returned, units });
        }
    }

    private send(address: string): void {
        const usage = [...this.batches.get(address)!.values()];
        this.batches.delete(address);
        emit(EventId.UsageReturned, { peer: address, entries: usage.length, units: usage.reduce((sum, { units }) => sum + units, 0) });
        this.clients.get(address).places.mutate({ node: this.self(), returned: [], unplaced: [], usage }).catch((err: unknown) =>
            emit(EventId.PeerExchangeFailed, { peer: address, returned: usage.length, detail: toFailure(err).detail })
        );
    }
}
