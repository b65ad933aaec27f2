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
    /** Version at which another node may have recorded the stream. */
    recordedElsewhere: string | undefined;
}

/** Creates the pin of a stream that has not begun, or was begun by a version. */
export const createVersionPin = (version?: string, recordedElsewhere?: string): VersionPin => ({ version, excluded: new Set(), recordedElsewhere });

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
    const mayBegin = await gateway.streamVersions.mayBegin(service, caller.requestId, version, versionPin.recordedElsewhere);
    if (!mayBegin) {
        versionPin.excluded.add(version);
    }
    return mayBegin;
};

/** Pins a stream to the version that wrote its first event. */
export const pinToBegun = ({ streamVersions }: Gateway, { route, service, caller, versionPin }: Call, version: string | undefined): void => {
    if (version === undefined || versionPin.version !== undefined) {
        return;
    }
    versionPin.version = version;
    if (mayBeTakenUp(route)) {
        streamVersions.onBegun(service, caller.requestId, version);
    }
};

/** Version at which the stream may have been recorded, for the peer that the request is passed on to. */
export const recordedVersionOf = ({ streamVersions }: Gateway, { caller, versionPin }: Call): string | undefined =>
    streamVersions.recorder?.versionOf(caller.requestId) ?? versionPin.recordedElsewhere;

/** Finds the version that began a stream that its caller takes up; refuses it if that is not known. */
const pinToOrigin = async (gateway: Gateway, { service, caller, versionPin }: Call): Promise<Refusal | undefined> => {
    const { streamVersions } = gateway;
    const origin = await streamVersions.originOf(service, caller.resumedRequestId);
    emit(EventId.StreamTakenUp, {
        request: caller.requestId,
        resumes: caller.resumedRequestId,
        service,
        ...origin,
        recordsAgeMs: Math.round(streamVersions.tableAgeMs),
    });
    versionPin.version = origin.version;
    return origin.version === undefined
        ? { kind: FailureKind.StreamVersionUnknown, detail: origin.detail, retryAfterMs: takeUpRetryAfterMs }
        : undefined;
};

/**
 * Pins a stream that its caller takes up to the version that began it, unless the peer that passed it on has named that; refuses it if the version is not known or
 * not available.
 */
export const pinTakenUpStream = async (gateway: Gateway, call: Call): Promise<Refusal | undefined> => {
    const { route, service, caller, versionPin } = call;
    if (caller.lastEventId === undefined || !mayBeTakenUp(route)) {
        return undefined;
    }
    const refusal = versionPin.version === undefined ? await pinToOrigin(gateway, call) : undefined;
    const { version } = versionPin;
    if (refusal || version === undefined) {
        return refusal;
    }
    const isReady = (): boolean => gateway.availability.servingOf(service).some(server => allowsUpstream(versionPin, server));
    return await waitForVersion(gateway, call, version, isReady)
        ? undefined
        : { kind: FailureKind.StreamVersionGone, detail: `no upstream of version "${version}" is ready`, retryAfterMs: takeUpRetryAfterMs };
};
