import type { CrashLog } from "../core/crashLog";
import { isRequestKey } from "../core/requestKeys";
import type { Quarantine } from "../types/quarantine";

/** Decides for one request whether it may be sent to a runner, as crashes may come from it or from parts of its prompt. */
export class QuarantineGate {
    /** Whether the request is sent in spite of a quarantine; it then runs once at most. */
    isTrial = false;

    private constructor(private readonly log: CrashLog, private readonly suspectParts: readonly string[]) {}

    /** Creates the gate of a request with these prompt parts and keys. */
    static create(log: CrashLog, suspectParts: readonly string[]): QuarantineGate {
        return new QuarantineGate(log, suspectParts);
    }

    /** The quarantine that forbids the request now. */
    get blocking(): Quarantine | undefined {
        return this.isTrial ? undefined : this.log.findBlocking(this.suspectParts);
    }

    /** Whether the request may run at a second runner: not as a trial, nor if a runner crashed while the same request was in progress and none has answered it since. */
    get mayRunTwice(): boolean {
        return !this.isTrial && !this.log.isSuspected(this.suspectParts.filter(isRequestKey));
    }

    /** Makes the request the trial of a quarantine, if one is due at this node. */
    startTrial(): void {
        const { blocking } = this;
        this.isTrial ||= blocking !== undefined && this.log.startTrial(blocking);
    }
}
