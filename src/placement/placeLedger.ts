interface LedgerPlace {
    readonly runner: string;
    /** Address of the node that gave it. */
    readonly address: string;
    /** Tokens of a generation; undefined for other requests. */
    readonly tokens?: number;
    /** Whether this node gave a place as well, because the other one knows slots alone. */
    readonly isOwnToo?: boolean;
}

interface Counted {
    readonly count: number;
    readonly tokens: number;
}

const nothing: Counted = { count: 0, tokens: 0 };

/** The places that this node holds at brittle upstreams. */
export class PlaceLedger {
    private readonly places = new Map<string, LedgerPlace>();
    private readonly counts = new Map<string, Counted>();

    private constructor() {}

    static create(): PlaceLedger {
        return new PlaceLedger();
    }

    /** Number of places at a runner that one node gave. */
    countOf(place: LedgerPlace): number {
        return this.countedOf(place).count;
    }

    /** Tokens of the generations with a place at a runner that one node gave. */
    tokensOf(place: LedgerPlace): number {
        return this.countedOf(place).tokens;
    }

    /** Whether a place is held. */
    has(id: string): boolean {
        return this.places.has(id);
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

    private countedOf({ runner, address }: LedgerPlace): Counted {
        return this.counts.get(`${address} ${runner}`) ?? nothing;
    }

    private count(place: LedgerPlace, change: number): void {
        const key = `${place.address} ${place.runner}`;
        const counted = this.countedOf(place);
        const count = counted.count + change;
        if (count > 0) {
            this.counts.set(key, { count, tokens: counted.tokens + change * (place.tokens ?? 0) });
        }
        else {
            this.counts.delete(key);
        }
    }
}
