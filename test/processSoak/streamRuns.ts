/** Checks that a stream goes on only at runners of a software version that began it, in one answer or over its caller's requests. */
export class StreamRuns {
    private readonly versionsByStream = new Map<string, Set<string>>();
    readonly violations: string[] = [];
    /** Runs that went on with a stream. */
    resumedCount = 0;

    private constructor() {}

    static create(): StreamRuns {
        return new StreamRuns();
    }

    /** Records that a runner begins to write a stream, named by its first request, after the event that its request names. */
    onRun(stream: string, softwareVersion: string, lastEventId: number): void {
        const versions = this.versionsByStream.get(stream) ?? new Set();
        this.versionsByStream.set(stream, versions);
        if (lastEventId === 0) {
            versions.add(softwareVersion);
            return;
        }
        this.resumedCount++;
        if (!versions.has(softwareVersion)) {
            this.violations.push(`${stream} began at version ${[...versions].join(", ")} and goes on at ${softwareVersion} after event ${lastEventId}`);
        }
    }
}
