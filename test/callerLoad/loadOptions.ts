import { parseArgs } from "node:util";

/** Options of a run. */
export interface LoadOptions {
    readonly seed: number;
    readonly seconds: number;
    readonly callers: number;
    /** Largest body of a request. */
    readonly maxBodyBytes: number;
    /** Largest answer. */
    readonly maxAnswerBytes: number;
    /** Longest time for which an upstream works before its answer, and then once more on its events. */
    readonly maxWorkMs: number;
    /** Answers in a hundred that the upstream breaks off or gets wrong. */
    readonly faultyPercent: number;
    /** Whether all nodes run on one core. */
    readonly isOneCore: boolean;
    /** Processes that never wait, on the same core. */
    readonly busyProcesses: number;
    /** Whether callers open a connection for each request, send it at once, and come back to any node that accepts connections, ready or not. */
    readonly isConnectionPerRequest: boolean;
    /** Whether nodes are stopped and started again. */
    readonly hasStops: boolean;
}

/** Integer options with their defaults and bounds. */
const integers = {
    "seed": { default: 1, min: 0, max: 2_147_483_647 },
    "seconds": { default: 30, min: 5, max: 3_600 },
    "callers": { default: 120, min: 1, max: 500 },
    "max-body": { default: 110_000, min: 0, max: 1_000_000 },
    "max-answer": { default: 64_000, min: 1_000, max: 4_000_000 },
    "max-work": { default: 2_800, min: 300, max: 60_000 },
    "faulty": { default: 0, min: 0, max: 100 },
    "busy": { default: 0, min: 0, max: 16 },
} as const;

const toInteger = (name: keyof typeof integers, text: string | undefined): number => {
    const { default: usual, min, max } = integers[name];
    const value = text === undefined ? usual : Number(text);
    if (text?.trim() === "" || !Number.isSafeInteger(value) || value < min || value > max) {
        throw new Error(`--${name} must be an integer from ${min} to ${max}, not "${text}"`);
    }
    return value;
};

/** Reads the command line; throws an error that says what is wrong with it. */
export const parseLoadOptions = (args: readonly string[]): LoadOptions => {
    const text = { type: "string" } as const;
    const flag = { type: "boolean", default: false } as const;
    const { values } = parseArgs({
        args: [...args],
        options: {
            "seed": text,
            "seconds": text,
            "callers": text,
            "max-body": text,
            "max-answer": text,
            "max-work": text,
            "faulty": text,
            "busy": text,
            "connection-per-request": flag,
            "one-core": flag,
            "no-stops": flag,
        },
    });
    return {
        seed: toInteger("seed", values.seed),
        seconds: toInteger("seconds", values.seconds),
        callers: toInteger("callers", values.callers),
        maxBodyBytes: toInteger("max-body", values["max-body"]),
        maxAnswerBytes: toInteger("max-answer", values["max-answer"]),
        maxWorkMs: toInteger("max-work", values["max-work"]),
        faultyPercent: toInteger("faulty", values.faulty),
        isOneCore: values["one-core"],
        busyProcesses: toInteger("busy", values.busy),
        isConnectionPerRequest: values["connection-per-request"],
        hasStops: !values["no-stops"],
    };
};
