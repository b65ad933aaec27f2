import FakeTimers from "@sinonjs/fake-timers";
import fc from "fast-check";
import log from "loglevel";

/** A randomised run: operations and faults are drawn together and executed on a paused clock. */
export interface Run<Op> {
    readonly name: string;
    readonly operationArbitrary: fc.Arbitrary<Op>;
    /** Executes the operations and throws where a promise was broken. */
    readonly execute: (operations: readonly Op[], clock: RunClock) => Promise<void>;
}

/** Mechanisms that a run can do without, to show that its checks can fail. */
export interface DisabledSafeguards {
    /** The table commits whatever the conditions. */
    readonly ignoresConditions?: boolean;
    /** Stewards believe that no order is ever late. */
    readonly ignoresLateness?: boolean;
    /** Stewards take every other process for one that has ended. */
    readonly assumesHoldersEnded?: boolean;
}

/** The paused clock of a run. */
export interface RunClock {
    advance(ms: number): Promise<void>;
}

/** Seed and size of runs. */
export interface RunOptions {
    readonly seed: number;
    readonly runs: number;
    readonly steps: number;
    /** Leaves the failing operations as they were drawn. */
    readonly skipsShrinking?: boolean;
}

const startOfTime = Date.UTC(2026, 0, 1);

/** Executes a run once on a clock of its own. */
export const executeRun = async <Op>(run: Run<Op>, operations: readonly Op[]): Promise<void> => {
    const clock = FakeTimers.install({ now: startOfTime, toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"] });
    try {
        await run.execute(operations, { advance: async ms => void await clock.tickAsync(ms) });
    }
    finally {
        clock.uninstall();
    }
};

/** Draws and executes runs; throws with the seed and the shrunk operations of the first that fails. */
export const checkRun = async <Op>(run: Run<Op>, { seed, runs, steps, skipsShrinking: isUnshrunk = false }: RunOptions): Promise<void> => {
    log.setLevel("silent", false);
    const operations = fc.array(run.operationArbitrary, { maxLength: steps, size: "max" });
    await fc.assert(fc.asyncProperty(operations, drawn => executeRun(run, drawn)), { seed, numRuns: runs, endOnFailure: isUnshrunk });
};
