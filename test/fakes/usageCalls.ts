import type { UsageAnswer } from "../../src/types/usageAnswer";
import { UsageOutcome } from "../../src/types/usageOutcome";

const msPerSecond = 1_000;

/** A request of a fleet and what became of it. */
export interface UsageCall {
    readonly at: number;
    readonly endedAt: number;
    readonly node: string;
    readonly units: number;
    readonly answer: UsageAnswer;
}

/** The requests of a fleet, with what was admitted of them. */
export class UsageCalls {
    readonly all: UsageCall[] = [];

    private constructor(private readonly windowMs: number) {}

    static create(windowMs: number): UsageCalls {
        return new UsageCalls(windowMs);
    }

    add(call: UsageCall): void {
        this.all.push(call);
    }

    get admitted(): readonly UsageCall[] {
        return this.all.filter(({ answer }) => answer.outcome === UsageOutcome.Admitted);
    }

    /** Largest sum of admitted units in a window that begins at or after a time. */
    mostInWindow(from = Number.NEGATIVE_INFINITY): number {
        const runs = this.admitted.filter(({ endedAt }) => endedAt >= from).sort((a, b) => a.endedAt - b.endedAt);
        let most = 0;
        let sum = 0;
        let first = 0;
        for (const { endedAt, units } of runs) {
            sum += units;
            while (runs[first]!.endedAt <= endedAt - this.windowMs) {
                sum -= runs[first++]!.units;
            }
            most = Math.max(most, sum);
        }
        return most;
    }

    /** Units admitted per second between two times. */
    usedPerSecond(from: number, until: number): number {
        const units = this.admitted.filter(({ endedAt }) => endedAt >= from && endedAt < until).reduce((sum, call) => sum + call.units, 0);
        return units * msPerSecond / (until - from);
    }
}
