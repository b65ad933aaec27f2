interface LedgerPlace {
    readonly runner: string;
    /** Address of the node that gave it. */
    readonly address: string;
}

/** The places that this node holds at brittle upstreams. */
export class PlaceLedger {
    private readonly places = new Map<string, LedgerPlace>();
    private readonly counts = new Map<string, number>();

    private constructor() {}

    static create(): PlaceLedger {
        return new PlaceLedger();
    }

    /** Number of places at a runner that one node gave. */
    countOf({ runner, address }: LedgerPlace): number {
        return this.counts.get(`${address} ${runner}`) ?? 0;
    }

    add(id: string, place: LedgerPlace): void {
        this.places.set(id, place);
        this.count(place, 1);
    }

    /** Removes a place; undefined if it is not held. */
    remove(id: string): LedgerPlace | undefined {
        const place = this.places.get(id);
        if (place) {
            this.places.delete(id);
            this.count(place, -1);
        }
        return place;
    }

    private count(place: LedgerPlace, change: number): void {
        const key = `${place.address} ${place.runner}`;
        const count = this.countOf(place) + change;
        if (count > 0) {
            this.counts.set(key, count);
        }
        else {
            this.counts.delete(key);
        }
    }
}
