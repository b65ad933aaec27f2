import { ProcessSignals } from "./processSignals";

/** Commands that run until they are stopped; the others leave signals their default actions. One with an option before its name replaces them once it runs. */
const servingCommands: readonly (string | undefined)[] = ["serve", "serve-platform"];

const signals = ProcessSignals.create();
if (servingCommands.includes(process.argv[2])) {
    signals.listen();
}
// The program is a file of its own: reading and compiling it takes most of the start, and a signal meanwhile would end the process.
void import("./main").then(({ run }) => run(signals), async (err: unknown) => (await import("./endWithoutProgram")).endWithoutProgram(err));
