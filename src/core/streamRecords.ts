/** Requests that a node remembers at most; the oldest go first. */
const maxRequests = 20_000;

interface StreamRecord {
    readonly version: string;
    readonly at: number;
}

/** Software versions of the streams that a node began, by the ID of the request, for as long as their callers may take them up. */
export class StreamRecords {
    /** In the order of their times. */
    private readonly records = new Map<string, StreamRecord>();

    private constructor(private readonly lifetimeMs: () => number) {}

    /** Creates an empty memory of streams. */
    static create(lifetimeMs: () => number): StreamRecords {
        return new StreamRecords(lifetimeMs);
    }

    get(requestId: string): string | undefined {
        return this.records.get(requestId)?.version;
    }

    set(requestId: string, version: string): void {
        this.records.delete(requestId);
        this.records.set(requestId, { version, at: performance.now() });
        this.removeExpired();
    }

    delete(requestId: string): void {
        this.records.delete(requestId);
    }

    /** Versions by request, without those that have expired. */
    entries(): Readonly<Record<string, string>> {
        this.removeExpired();
        return Object.fromEntries([...this.records].map(([requestId, { version }]) => [requestId, version]));
    }

    private removeExpired(): void {
        const expiresBefore = performance.now() - this.lifetimeMs();
        for (const [requestId, { at }] of this.records) {
            if (at >= expiresBefore && this.records.size <= maxRequests) {
                return;
            }
            this.records.delete(requestId);
        }
    }
}
