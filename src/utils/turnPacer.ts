/** Bytes that may be read in one turn of the event loop, after which readers pause, and readers that go on in the next one. */
const maxBytesPerTurn = 262_144;
const resumedPerTurn = 4;

/** Bounds what one turn of the event loop reads of large bodies: small requests, new connections and closes wait for the end of a turn. */
export class TurnPacer {
    private bytes = 0;
    private isScheduled = false;
    private readonly paused: (() => void)[] = [];

    private constructor() {}

    static create(): TurnPacer {
        return new TurnPacer();
    }

    /** Counts bytes that were read; false if the reader has to pause until `resume` is called in a later turn. */
    count(bytes: number, resume: () => void): boolean {
        this.bytes += bytes;
        this.schedule();
        if (this.bytes <= maxBytesPerTurn) {
            return true;
        }
        this.paused.push(resume);
        return false;
    }

    private schedule(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            setImmediate(() => this.beginTurn());
        }
    }

    private beginTurn(): void {
        this.isScheduled = false;
        this.bytes = 0;
        this.paused.splice(0, resumedPerTurn).forEach(resume => resume());
        if (this.paused.length > 0) {
            this.schedule();
        }
    }
}
