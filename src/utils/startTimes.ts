/** Steps of a start, in order. */
export enum StartStep {
    /** The runtime is ready to run the program. */
    Runtime = "runtime",
    /** The program has been read, compiled and evaluated. */
    Program = "program",
    /** The settings have been read. */
    Settings = "settings",
    /** The node accepts requests. */
    Started = "started",
}

/** When the steps of a start were complete, in ms since the process began. */
export class StartTimes {
    private readonly stepsMs: Partial<Record<StartStep, number>> = {};

    private constructor() {
        this.stepsMs[StartStep.Runtime] = Math.round(performance.nodeTiming.bootstrapComplete);
    }

    static create(): StartTimes {
        return new StartTimes();
    }

    /** Records that a step is complete. */
    mark(step: StartStep): void {
        this.stepsMs[step] = Math.round(performance.now());
    }

    /** The last step that is complete. */
    get lastStep(): StartStep {
        return Object.values(StartStep).findLast(step => this.stepsMs[step] !== undefined)!;
    }

    /** The steps so far, for the log. */
    get summary(): Readonly<Partial<Record<StartStep, number>>> {
        return { ...this.stepsMs };
    }
}

/** The start of this process. */
export const startTimes = StartTimes.create();
