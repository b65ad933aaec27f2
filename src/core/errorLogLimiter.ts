/** Errors of one place that are logged in a window; the others are only counted. */
const maxLoggedPerWindow = 5;
const windowMs = 10_000;
/** Places that are told apart; beyond this, the one that failed least recently is forgotten. */
const maxPlaces = 256;

interface PlaceErrors {
    readonly windowStart: number;
    readonly logged: number;
    /** Errors since the last one that was logged. */
    readonly suppressed: number;
}

/** What was thrown as text; values without one, such as an object without a prototype, share a place. */
const textOf = (err: unknown): string => {
    try {
        return String(err instanceof Error ? err.stack ?? err.message : err);
    }
    catch {
        return typeof err;
    }
};

/** The place in the code at which an error was thrown: the first line of its stack that names one. */
const placeOf = (err: unknown): string => {
    const [message, place = message] = textOf(err).split(/\n(?=\s+at )/, 2);
    return place!.trim();
};

/** Counts errors and decides which of them are logged: those that repeat at one place must not displace all other log lines. */
export class ErrorLogLimiter {
    private readonly places = new Map<string, PlaceErrors>();
    /** All errors so far, logged or not. */
    total = 0;

    private constructor(private readonly now: () => number) {}

    /** Creates a limiter that has not seen an error. */
    static create(now: () => number = () => performance.now()): ErrorLogLimiter {
        return new ErrorLogLimiter(now);
    }

    /** Number of places that are remembered. */
    get size(): number {
        return this.places.size;
    }

    /** Counts an error; returns how many of its place were suppressed before it, or undefined if it is not to be logged. */
    record(err: unknown): number | undefined {
        this.total++;
        const place = placeOf(err);
        const known = this.places.get(place);
        const isSameWindow = known !== undefined && this.now() - known.windowStart < windowMs;
        const { windowStart, logged } = isSameWindow ? known : { windowStart: this.now(), logged: 0 };
        const isLogged = logged < maxLoggedPerWindow;
        const suppressed = known?.suppressed ?? 0;
        this.places.delete(place);
        this.places.set(place, { windowStart, logged: logged + (isLogged ? 1 : 0), suppressed: isLogged ? 0 : suppressed + 1 });
        if (this.places.size > maxPlaces) {
            this.places.delete(this.places.keys().next().value!);
        }
        return isLogged ? suppressed : undefined;
    }
}
