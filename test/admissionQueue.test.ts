import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AdmissionQueue } from "../src/core/admissionQueue";
import { FailureError } from "../src/core/failures";
import { Priority } from "../src/core/recordSchemas";
import { FailureKind } from "../src/types/failureKind";

const deadlineMs = 200;

interface LeftCase {
    readonly name: string;
    /** Whether the caller leaves before its request is placed; otherwise it leaves while the request is queued. */
    readonly isAhead: boolean;
    readonly hasCapacity: boolean;
}

const cases: readonly LeftCase[] = [
    { name: "before its request is placed, with free capacity", isAhead: true, hasCapacity: true },
    { name: "before its request is placed, without free capacity", isAhead: true, hasCapacity: false },
    { name: "while its request is queued", isAhead: false, hasCapacity: false },
];

describe("the admission queue", () => {
    for (const { name, isAhead, hasCapacity } of cases) {
        it(`assigns and keeps nothing for a caller that leaves ${name}`, async () => {
            const queue = AdmissionQueue.create(8);
            const abort = new AbortController();
            let assigned = 0;
            const assign = (): string | undefined => {
                assigned += hasCapacity ? 1 : 0;
                return hasCapacity ? "runner" : undefined;
            };
            if (isAhead) {
                abort.abort();
            }
            const placed = queue.place("caller", Priority.Normal, performance.now() + deadlineMs, assign, abort.signal);
            const refused = assert.rejects(placed, (err: unknown) => err instanceof FailureError && err.failure.kind === FailureKind.CallerGone);
            abort.abort();
            assert.equal(queue.length, 0);
            await refused;
            assert.equal(assigned, 0);
        });
    }
});
