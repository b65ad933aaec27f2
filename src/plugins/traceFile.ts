import { createWriteStream } from "node:fs";
import { setDecisionRecorder } from "../core/decisions";
import { formatTraceLine } from "../core/trace";
import type { NodePlugin } from "../node/context";

/** Lines that may wait for a slow file; further ones are left out, so that tracing never takes the node's memory. */
const maxPendingBytes = 16_777_216;

/** Records every decision as a JSON line. */
export const createTraceFile = (path: string): NodePlugin => ({
    name: "trace-file",
    start: () => {
        const file = createWriteStream(path, { flags: "a" });
        setDecisionRecorder((decision, input, outcome) => {
            if (file.writableLength < maxPendingBytes) {
                file.write(`${formatTraceLine({ decision, input, outcome })}\n`);
            }
        });
    },
    stop: () => setDecisionRecorder(undefined),
});
