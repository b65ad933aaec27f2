import type { UpstreamServer } from "../types/upstreamServer";
import { processKey } from "../types/upstreamServer";
import type { AttemptGuard } from "./attempt";
import type { Call } from "./call";
import type { Gateway } from "./gateway";
import { isKeyValid } from "./refuseKey";

/** Connects an attempt that began at a time with what this node knows of its upstream. */
export const createAttemptGuard = (gateway: Gateway, call: Call, server: UpstreamServer, sentAt: number): AttemptGuard => ({
    mayStillSend: () => gateway.availability.mayStillSend(server) && isKeyValid(gateway, call),
    onArrival: openedAt => gateway.contact.onWord(processKey(server), openedAt),
    onPart: bytes => gateway.receivedParts.count(bytes),
    onAnyHead: decoded => {
        const { requestId } = call.caller;
        // An answer to an earlier request may have been written before this one was sent.
        gateway.availability.onAnswer(server, decoded, requestId, decoded.requestId === requestId ? sentAt : undefined);
    },
});
