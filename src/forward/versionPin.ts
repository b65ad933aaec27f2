import type { UpstreamChoice } from "../core/chooseUpstream";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import type { ServiceRoute } from "../types/servingConfig";
import { RouteKind } from "../types/servingConfig";
import type { UpstreamServer } from "../types/upstreamServer";
import { softwareVersionOf } from "../types/upstreamServer";
import type { VersionConstraint } from "../types/versionConstraint";
import { emit } from "../utils/events";
import type { Call } from "./call";
import type { Gateway } from "./gateway";
import type { Refusal } from "./refusal";
import { waitForVersion } from "./waitForVersion";

/** Retry delay given to a caller whose stream cannot be taken up. */
const takeUpRetryAfterMs = 1_000;

/** The software version at which a request's stream may go on. What two versions write does not fit together. */
export interface VersionPin {
    /** Undefined until the stream has begun. */
    version: string | undefined;
    /** Versions at which it may not begin, as that could not be recorded. */
    readonly excluded: Set<string>;
}

/** Creates the pin of a stream that has not begun, or was begun by a version. */
export const createVersionPin = (version?: string): VersionPin => ({ version, excluded: new Set() });

/** Whether a request may be sent to an upstream. */
export const allowsUpstream = ({ version, excluded }: VersionPin, server: UpstreamServer): boolean => {
    const softwareVersion = softwareVersionOf(server);
    return version === undefined ? !excluded.has(softwareVersion) : version === softwareVersion;
};

/** What the controller is told of a pin. */
export const constraintOf = ({ version, excluded }: VersionPin): VersionConstraint => ({ only: version, excluded: [...excluded] });

const mayBeTakenUp = ({ kind, isResumable }: ServiceRoute): boolean => kind === RouteKind.Streaming && isResumable;

/** Whether a stream may begin at the chosen upstream; if not, its version is excluded. */
export const mayBeginAt = async (gateway: Gateway, { route, service, caller, versionPin }: Call, { candidate }: UpstreamChoice): Promise<boolean> => {
    if (!mayBeTakenUp(route) || versionPin.version !== undefined) {
        return true;
    }
    const version = softwareVersionOf(candidate.server);
    const mayBegin = await gateway.streamVersions.mayBegin(service, caller.requestId, version);
    if (!mayBegin) {
        versionPin.excluded.add(version);
    }
    return mayBegin;
};

/** Pins a stream that its caller takes up to the version that began it; refuses it if that is not known or not available. */
export const pinTakenUpStream = async (gateway: Gateway, call: Call): Promise<Refusal | undefined> => {
    const { route, service, caller, versionPin } = call;
    if (caller.lastEventId === undefined || versionPin.version !== undefined || !mayBeTakenUp(route)) {
        return undefined;
    }
    const { streamVersions, availability } = gateway;
    const origin = await streamVersions.originOf(service, caller.resumedRequestId);
    emit(EventId.StreamTakenUp, {
        request: caller.requestId,
        resumes: caller.resumedRequestId,
        service,
        ...origin,
        recordsAgeMs: Math.round(streamVersions.tableAgeMs),
    });
    versionPin.version = origin.version;
    if (origin.version === undefined) {
        return { kind: FailureKind.StreamVersionUnknown, detail: origin.detail, retryAfterMs: takeUpRetryAfterMs };
    }
    const isReady = (): boolean => availability.servingOf(service).some(server => allowsUpstream(versionPin, server));
    return await waitForVersion(gateway, call, origin.version, isReady)
        ? undefined
        : { kind: FailureKind.StreamVersionGone, detail: `no upstream of version "${origin.version}" is ready`, retryAfterMs: takeUpRetryAfterMs };
};
