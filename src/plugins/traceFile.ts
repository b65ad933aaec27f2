import { createWriteStream } from "node:fs";
import { setDecisionRecorder } from "../core/decisions";
import { formatTraceLine } from "../core/trace";
import type { NodePlugin } from "../node/context";

/** Bytes that may be buffered for a slow file; further lines are dropped, so that tracing cannot exhaust the node's memory. */
const maxPendingBytes = 16_777_216;

/** Creates the plugin that appends every decision to a trace file as a JSON line. */
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
