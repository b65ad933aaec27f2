import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import type { Gateway } from "./gateway";

/** Logs when this node stops and starts to serve requests with a key, by the age of its configuration. */
export class ConfirmationWatch {
    private wasRecent = true;

    private constructor(private readonly gateway: Gateway) {}

    static create(gateway: Gateway): ConfirmationWatch {
        return new ConfirmationWatch(gateway);
    }

    /** Compares the state with that of the last call. */
    check(): void {
        const { confirmation, config, settings } = this.gateway;
        const { isRecent, roundedAgeMs } = confirmation;
        if (config === undefined || isRecent === this.wasRecent) {
            return;
        }
        this.wasRecent = isRecent;
        emit(isRecent ? EventId.KeyedRequestsServed : EventId.KeyedRequestsRefused, {
            configVersion: config.version,
            configAgeMs: roundedAgeMs,
            revokeMs: settings.revokeMs,
        });
    }
}
