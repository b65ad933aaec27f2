import type { BaseContext } from "clipanion";
import type { CodeCacheUse } from "./codeCacheUse";
import type { ProcessSignals } from "./processSignals";

/** What commands are given. */
export interface CommandContext extends BaseContext {
    readonly signals: ProcessSignals;
    /** What became of the program's code cache. */
    readonly codeCache: CodeCacheUse;
}
