import type { EventId } from "../types/eventId";
import { ExitCode } from "./exitCode";

// Values, not the enum: the entry stays small, as a signal that comes before it has been read ends the process.
const event: EventId.ProgramUnusable = 141;
const name: keyof typeof EventId = "ProgramUnusable";

/** Ends a process whose program cannot be loaded, with a line of the log's form; the log itself is part of the program. */
export const endWithoutProgram = (err: unknown): never => {
    const detail = err instanceof Error ? err.stack ?? err.message : String(err);
    process.stderr.write(`${JSON.stringify({ time: new Date().toISOString(), level: "error", event, name, detail })}\n`);
    process.exit(ExitCode.ProgramUnusable);
};
