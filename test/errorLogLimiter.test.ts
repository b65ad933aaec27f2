import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ErrorLogLimiter } from "../src/core/errorLogLimiter";

/** Guards against a process that ends because the handler of unexpected errors throws itself. */
describe("the limiter of logged errors", () => {
    const cases: Readonly<Record<string, unknown>> = {
        "an object without a prototype": Object.setPrototypeOf({}, Object.getPrototypeOf(Object.prototype) as object),
        "an error whose stack is no text": Object.assign(new Error("odd"), { stack: 7 }),
        "an object that cannot be converted": { toString: () => assert.fail("not convertible") },
        "a symbol": Symbol("odd"),
        nothing: undefined,
    };
    for (const [name, err] of Object.entries(cases)) {
        it(`counts and logs ${name}`, () => {
            const errors = ErrorLogLimiter.create();
            assert.equal(errors.record(err), 0);
            assert.equal(errors.total, 1);
        });
    }
});
