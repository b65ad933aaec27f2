import { z } from "zod";

/** Validates a value against a schema; each fault is one line. */
export const parseWith = <T>(schema: z.ZodType<T>, value: unknown): { readonly value: T; } | { readonly faults: readonly string[]; } => {
    const result = schema.safeParse(value);
    return result.success
        ? { value: result.data }
        : { faults: result.error.issues.map(issue => `${issue.path.join(".") || "document"}: ${issue.message}`) };
};

/** Parses JSON; undefined if it is malformed. */
export const parseJson = (bytes: Buffer | string): unknown => {
    try {
        return JSON.parse(bytes.toString()) as unknown;
    }
    catch {
        return undefined;
    }
};

/** A resident model in a directory row or a runner report. */
export const residentModelSchema = z.object({ name: z.string(), version: z.number(), adapters: z.array(z.string()).default([]) });

/** Models whose weights a runner has in memory or on disk. */
export const localCopiesSchema = z.object({ inMemory: z.array(z.string()).default([]), onDisk: z.array(z.string()).default([]) }).default({
    inMemory: [],
    onDisk: [],
});
