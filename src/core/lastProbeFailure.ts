import { ContactFailure } from "../types/contactFailure";

/** How the latest probe of the path failed, as far as that still says something of it. */
export class LastProbeFailure {
    private kind: ContactFailure | undefined;
    private at = Number.NEGATIVE_INFINITY;

    private constructor() {}

    static create(): LastProbeFailure {
        return new LastProbeFailure();
    }

    /** Whether it could not be sent for an error of this node. */
    get isOwn(): boolean {
        return this.kind === ContactFailure.Own;
    }

    onFailed(kind: ContactFailure): void {
        this.kind = kind;
        this.at = performance.now();
    }

    /** A probe that was sent at a time on the monotonic clock had no answer, or bytes that are none: this node could send it. */
    onUnanswered(sentAt: number): void {
        if (sentAt > this.at) {
            this.forget();
        }
    }

    forget(): void {
        this.kind = undefined;
    }
}
