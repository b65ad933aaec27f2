import type { GenerationTerms } from "../types/sendPermit";

interface Place {
    readonly since: number;
    readonly expiresAt: number;
    readonly generation: GenerationTerms | undefined;
}

/** The places of one upstream that are given and have not been returned or expired. */
export class GivenPlaces {
    private readonly places = new Map<string, Place>();

    private constructor() {}

    static create(): GivenPlaces {
        return new GivenPlaces();
    }

    get size(): number {
        return this.places.size;
    }

    /** Average age of the places; 0 without any. */
    get averageAgeMs(): number {
        const now = performance.now();
        const ages = [...this.places.values()].reduce((sum, { since }) => sum + now - since, 0);
        return ages / Math.max(1, this.places.size);
    }

    /** The generations among their requests. */
    get generations(): readonly GenerationTerms[] {
        return [...this.places.values()].flatMap(({ generation }) => generation ? [generation] : []);
    }

    /** Number of places that were given within a time. */
    countYounger(ms: number): number {
        const now = performance.now();
        return [...this.places.values()].filter(({ since }) => now - since < ms).length;
    }

    add(id: string, holdMs: number, generation: GenerationTerms | undefined): void {
        const now = performance.now();
        this.places.set(id, { since: now, expiresAt: now + holdMs, generation });
    }

    /** Removes a place; returns the time for which it was held, or undefined if it is not known. */
    remove(id: string): number | undefined {
        const place = this.places.get(id);
        this.places.delete(id);
        return place && performance.now() - place.since;
    }

    removeExpired(now: number): void {
        this.places.forEach(({ expiresAt }, id) => expiresAt <= now && this.places.delete(id));
    }
}
