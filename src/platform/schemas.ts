import { z } from "zod";

/** Reads a value by a schema; the faults are one line each. */
export const parseWith = <T>(schema: z.ZodType<T>, value: unknown): { readonly value: T; } | { readonly faults: readonly string[]; } => {
    const result = schema.safeParse(value);
    return result.success
        ? { value: result.data }
        : { faults: result.error.issues.map(issue => `${issue.path.join(".") || "document"}: ${issue.message}`) };
};

/** Parses JSON bytes; undefined where they are no JSON. */
export const parseJson = (bytes: Buffer | string): unknown => {
    try {
        return JSON.parse(bytes.toString()) as unknown;
    }
    catch {
        return undefined;
    }
};

/** A model in a directory row or a report. */
export const residentModelSchema = z.object({ name: z.string(), version: z.number(), adapters: z.array(z.string()).default([]) });

/** Copies of weights at a runner. */
export const localCopiesSchema = z.object({ inMemory: z.array(z.string()).default([]), onDisk: z.array(z.string()).default([]) }).default({
    inMemory: [],
    onDisk: [],
});
