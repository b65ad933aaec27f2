import type { CrashLog } from "../core/crashLog";
import type { PromptQuarantine } from "../types/promptQuarantine";

/** Decides for one request whether its prompt may be sent to a runner. */
export class PromptGate {
    /** Whether the request is sent in spite of a quarantine; it is then sent once at most. */
    isTrial = false;

    private constructor(private readonly log: CrashLog, private readonly sharedParts: readonly string[]) {}

    /** Creates the gate of a request with these shared prompt parts. */
    static create(log: CrashLog, sharedParts: readonly string[]): PromptGate {
        return new PromptGate(log, sharedParts);
    }

    /** The quarantine that forbids the request now. */
    get blocking(): PromptQuarantine | undefined {
        return this.isTrial || this.sharedParts.length === 0 ? undefined : this.log.findBlocking(this.sharedParts);
    }

    /** Makes the request the trial of a quarantine, if one is due at this node. */
    startTrial(): void {
        const { blocking } = this;
        this.isTrial ||= blocking !== undefined && this.log.startTrial(blocking);
    }
}
