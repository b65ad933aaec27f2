import fc from "fast-check";

/** Longest time after which an order still arrives. */
export const latenessMs = 2_000;
/** Models that are offered. */
export const modelNames = ["m0", "m1", "m2", "m3"];
/** Memory of each model; an engine has 100 MiB. */
export const modelSizesMiB = [60, 40, 30, 30];

/** What may happen in a run. */
export type Operation =
    | { readonly op: "orders"; readonly fault: "lost" | "late" | "doubled" | "paused"; readonly count: number; readonly delayMs: number; }
    | { readonly op: "freeze"; readonly node: number; readonly ms: number; }
    | { readonly op: "kill"; readonly node: number; }
    | { readonly op: "table"; readonly fault: "down" | "loseAnswers" | "loseCommits"; readonly ms: number; }
    | { readonly op: "restart"; readonly runner: number; }
    | { readonly op: "version"; readonly model: number; }
    | { readonly op: "demand"; readonly model: number; readonly rate: number; }
    | { readonly op: "withdraw"; readonly model: number; }
    | { readonly op: "wait"; readonly ms: number; };

const index = (count: number) => fc.nat(count - 1);
/** Draws an operation. */
export const memoryOperationArbitrary: fc.Arbitrary<Operation> = fc.oneof(
    fc.record({
        op: fc.constant("orders" as const),
        fault: fc.constantFrom("lost" as const, "late" as const, "doubled" as const, "paused" as const),
        count: fc.integer({ min: 1, max: 3 }),
        delayMs: fc.nat(latenessMs - 100),
    }),
    fc.record({ op: fc.constant("freeze" as const), node: index(2), ms: fc.constantFrom(1_000, 8_000, 15_000, 40_000) }),
    fc.record({ op: fc.constant("kill" as const), node: index(2) }),
    fc.record({
        op: fc.constant("table" as const),
        fault: fc.constantFrom("down" as const, "loseAnswers" as const, "loseCommits" as const),
        ms: fc.nat(12_000),
    }),
    fc.record({ op: fc.constant("restart" as const), runner: index(3) }),
    fc.record({ op: fc.constant("version" as const), model: index(modelNames.length) }),
    fc.record({ op: fc.constant("demand" as const), model: index(modelNames.length), rate: fc.integer({ min: 0, max: 12 }) }),
    fc.record({ op: fc.constant("withdraw" as const), model: index(modelNames.length) }),
    { weight: 8, arbitrary: fc.record({ op: fc.constant("wait" as const), ms: fc.integer({ min: 100, max: 6_000 }) }) },
);
