import { toFailure } from "../core/failures";
import type { UpstreamRooms } from "../core/upstreamRooms";
import { EventId } from "../types/eventId";
import type { PlaceReport, ReturnedPlace } from "../types/sendPermit";
import { emit } from "../utils/events";
import { getOrCreate } from "../utils/maps";
import type { PeerClients } from "./peerClients";

/** Places that are given back within this time are told together. */
const batchMs = 5;
/** Entries of one message at most; places beyond that expire with their time. */
const maxEntries = 2_048;

interface Batch {
    readonly returned: ReturnedPlace[];
    /** Requests in progress without a place, and their tokens, by runner. */
    readonly unplaced: Map<string, { readonly count: number; readonly tokens: number; }>;
}

/** Tells the nodes that hand out places which of them are free again. */
export class PlaceReporter {
    private readonly batches = new Map<string, Batch>();

    private constructor(private readonly clients: PeerClients, private readonly rooms: UpstreamRooms, private readonly self: () => string) {}

    /** Creates a reporter; `rooms` are those whose places this node hands out itself. */
    static create(clients: PeerClients, rooms: UpstreamRooms, self: () => string): PlaceReporter {
        return new PlaceReporter(clients, rooms, self);
    }

    onReturned(address: string, place: ReturnedPlace): void {
        this.batchOf(address).returned.push(place);
    }

    onUnplaced(address: string, runner: string, count: number, tokens: number): void {
        this.batchOf(address).unplaced.set(runner, { count, tokens });
    }

    private batchOf(address: string): Batch {
        return getOrCreate(this.batches, address, () => {
            setTimeout(() => this.send(address), batchMs);
            return { returned: [], unplaced: new Map<string, { count: number; tokens: number; }>() };
        });
    }

    private send(address: string): void {
        const { returned, unplaced } = this.batches.get(address)!;
        this.batches.delete(address);
        const node = this.self();
        const counts = [...unplaced].map(([runner, { count, tokens }]) => tokens > 0 ? { runner, count, tokens } : { runner, count });
        const report: PlaceReport = { node, returned: returned.slice(0, maxEntries), unplaced: counts.slice(0, maxEntries) };
        if (address === node) {
            this.rooms.report(report);
            return;
        }
        this.clients.get(address).places.mutate({ node, returned: [...report.returned], unplaced: [...report.unplaced] }).catch((err: unknown) =>
            emit(EventId.PeerExchangeFailed, { peer: address, places: returned.length, detail: toFailure(err).detail })
        );
    }
}
