import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import type { MemoryReading } from "../utils/memoryGauge";
import { TurnMeter } from "../utils/turnMeter";
import type { ReceivedParts } from "./receivedParts";

/** A delay of this length is noticed by callers. */
const minLoggedDelayMs = 500;
/** Minimum interval between two log lines. */
const logIntervalMs = 5_000;

/** Logs delays of the event loop, with the parts of answers that arrived in them. */
export class TurnWatch {
    private readonly meter = TurnMeter.create();
    private loggedAt = Number.NEGATIVE_INFINITY;
    private parts = 0;
    private bytes = 0;

    private constructor(private readonly received: ReceivedParts, private readonly readMemory: () => MemoryReading) {}

    static create(received: ReceivedParts, readMemory: () => MemoryReading): TurnWatch {
        return new TurnWatch(received, readMemory);
    }

    /** The longest recent turn. */
    get longestMs(): number {
        return this.meter.longestMs;
    }

    /** Watches until the signal aborts. */
    run(signal: AbortSignal): Promise<void> {
        return this.meter.run(() => this.check(), signal);
    }

    private check(): void {
        const { parts, bytes } = this.received;
        const { latestMs } = this.meter;
        const now = performance.now();
        if (latestMs >= minLoggedDelayMs && now - this.loggedAt >= logIntervalMs) {
            this.loggedAt = now;
            const { heapUsed, rss } = this.readMemory();
            emit(EventId.EventLoopDelayed, {
                lateMs: Math.round(latestMs),
                answerParts: parts - this.parts,
                answerBytes: bytes - this.bytes,
                heapUsedBytes: heapUsed,
                residentBytes: rss,
            });
        }
        this.parts = parts;
        this.bytes = bytes;
    }
}
