import FakeTimers from "@sinonjs/fake-timers";
import fc from "fast-check";
import log from "loglevel";

/** A randomised run: operations and faults are drawn together and executed on a paused clock. */
export interface Run<Op> {
    readonly name: string;
    readonly operation: fc.Arbitrary<Op>;
    /** Executes the operations and throws where a promise was broken. */
    readonly execute: (operations: readonly Op[], clock: RunClock) => Promise<void>;
}

/** The paused clock of a run. */
export interface RunClock {
    advance(ms: number): Promise<void>;
}

/** Seed and size of runs. */
export interface RunSize {
    readonly seed: number;
    readonly runs: number;
    readonly steps: number;
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
export const checkRun = async <Op>(run: Run<Op>, { seed, runs, steps }: RunSize): Promise<void> => {
    log.setLevel("silent", false);
    const operations = fc.array(run.operation, { maxLength: steps, size: "max" });
    await fc.assert(fc.asyncProperty(operations, drawn => executeRun(run, drawn)), { seed, numRuns: runs, interruptAfterTimeLimit: undefined });
};
