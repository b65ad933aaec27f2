import FakeTimers from "@sinonjs/fake-timers";
import fc from "fast-check";
import log from "loglevel";

/** A property test: operations and faults are generated together and executed on a fake clock. */
export interface Run<Op> {
    readonly name: string;
    readonly operationArbitrary: fc.Arbitrary<Op>;
    /** Executes the operations and throws if a guarantee of the system was violated. */
    readonly execute: (operations: readonly Op[], clock: RunClock) => Promise<void>;
}

/** Safeguards that a run can disable, to show that its checks detect their absence. */
export interface DisabledSafeguards {
    /** The table commits without evaluating the conditions. */
    readonly ignoresConditions?: boolean;
    /** Zone controllers assume that no order arrives late. */
    readonly ignoresLateness?: boolean;
    /** Zone controllers assume that every other lease holder's process has ended. */
    readonly assumesHoldersEnded?: boolean;
}

/** The fake clock of a run. */
export interface RunClock {
    advance(ms: number): Promise<void>;
}

/** Seed, number of runs and maximum number of operations (`steps`) of each. */
export interface RunOptions {
    readonly seed: number;
    readonly runs: number;
    readonly steps: number;
    /** Reports the failing operations as generated, without shrinking them. */
    readonly skipsShrinking?: boolean;
}

const startTimeMs = Date.UTC(2026, 0, 1);

/** Executes a run once on its own fake clock. */
export const executeRun = async <Op>(run: Run<Op>, operations: readonly Op[]): Promise<void> => {
    const clock = FakeTimers.install({ now: startTimeMs, toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"] });
    try {
        await run.execute(operations, { advance: async ms => void await clock.tickAsync(ms) });
    }
    finally {
        clock.uninstall();
    }
};

/** Generates and executes runs; throws with the seed and the shrunk operations of the first run that fails. */
export const checkRun = async <Op>(run: Run<Op>, { seed, runs, steps, skipsShrinking = false }: RunOptions): Promise<void> => {
    log.setLevel("silent", false);
    const operations = fc.array(run.operationArbitrary, { maxLength: steps, size: "max" });
    await fc.assert(fc.asyncProperty(operations, generated => executeRun(run, generated)), { seed, numRuns: runs, endOnFailure: skipsShrinking });
};
