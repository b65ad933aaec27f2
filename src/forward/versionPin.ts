import type { UpstreamServer } from "../types/upstreamServer";
import { softwareVersionOf } from "../types/upstreamServer";

/** The software version at which a request's stream may go on. What two versions write does not fit together. */
export interface VersionPin {
    /** Undefined until the stream has begun. */
    version: string | undefined;
}

/** Whether a request may be sent to an upstream. */
export const allowsUpstream = ({ version }: VersionPin, server: UpstreamServer): boolean => version === undefined || version === softwareVersionOf(server);
