import assert from "node:assert/strict";
import { Socket } from "node:net";
import { describe, it } from "node:test";
import { AnswerFlow } from "../src/forward/answerFlow";

const socket = new Socket();

/** Guards against an answer that ends twice: its connection would be given back while it carries another request. */
describe("the end of an answer whose caller is slow", () => {
    const cases: readonly { readonly name: string; readonly pauses: number; readonly resumes: number; }[] = [
        { name: "a caller that takes more once", pauses: 1, resumes: 1 },
        { name: "a caller of which each write that was refused tells so", pauses: 2, resumes: 2 },
        { name: "a caller that takes more again later", pauses: 1, resumes: 3 },
    ];
    for (const { name, pauses, resumes } of cases) {
        it(`comes once: ${name}`, () => {
            const flow = AnswerFlow.create(() => undefined);
            let ends = 0;
            for (let index = 0; index < pauses; index++) {
                flow.pause(socket);
            }
            flow.end(() => ends++);
            assert.equal(ends, 0);
            for (let index = 0; index < resumes; index++) {
                flow.resume(socket);
            }
            assert.equal(ends, 1);
        });
    }

    it("does not come once the answer has been given up", () => {
        const flow = AnswerFlow.create(() => undefined);
        let ends = 0;
        flow.pause(socket);
        flow.end(() => ends++);
        flow.drop();
        flow.resume(socket);
        assert.equal(ends, 0);
    });
});
