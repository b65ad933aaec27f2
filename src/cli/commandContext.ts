import type { BaseContext } from "clipanion";
import type { ProcessSignals } from "./processSignals";

/** What commands are given. */
export interface CommandContext extends BaseContext {
    readonly signals: ProcessSignals;
}
