import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import { sleep } from "../utils/time";
import type { Call } from "./call";
import type { Gateway } from "./gateway";

/** Interval at which the directory is checked. */
const pollIntervalMs = 25;
/** Minimum time that a stream needs once its version is known to be there. */
const minServeMs = 100;

/**
 * Whether the directory may lack upstreams of a version that others know: this node has never seen the version by which a stream was begun, or it has lately heard from
 * neither the store nor a peer, as one that was just resumed.
 */
const mayBeBehind = ({ freshness, streamVersions }: Gateway, service: string, version: string): boolean =>
    freshness.isFollowing && (!streamVersions.versions.hasSeen(service, version) || !freshness.isInContact);

/** Whether an upstream of a version is ready; waits until the directory is as new as the request if it may be behind, as long as an answer in time is possible. */
export const waitForVersion = async (gateway: Gateway, call: Call, version: string, isReady: () => boolean): Promise<boolean> => {
    const startedAt = performance.now();
    if (isReady() || !mayBeBehind(gateway, call.service, version)) {
        return isReady();
    }
    const waitsUntil = Math.min(call.deadlineAt, gateway.exitDeadlineAt) - minServeMs;
    while (!isReady() && !gateway.freshness.isAsNewAs(startedAt) && performance.now() < waitsUntil && !call.signal.aborted) {
        await sleep(pollIntervalMs, call.signal);
    }
    emit(EventId.DirectoryAwaited, {
        request: call.caller.requestId,
        service: call.service,
        version,
        isReady: isReady(),
        isAsNew: gateway.freshness.isAsNewAs(startedAt),
        afterMs: Math.round(performance.now() - startedAt),
    });
    return isReady();
};
