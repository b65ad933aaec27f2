import type { StreamOrigin } from "../types/streamOrigin";
import { OriginSource } from "../types/streamOrigin";

/** The origin of a stream of which neither a record nor a base version is known. */
export const unknownOrigin = (requestId: string | undefined): StreamOrigin => ({
    version: undefined,
    detail: requestId === undefined
        ? "several versions serve, and the request does not name the one that began the stream"
        : "several versions serve, and none is recorded as the one before",
});

/** The origin of a stream, by the versions that nodes recorded for it. */
export const originOfRecord = ([version, ...others]: Iterable<string> & ReadonlySet<string>): StreamOrigin =>
    others.length === 0 && version !== undefined
        ? { version, source: OriginSource.Record }
        : { version: undefined, detail: "nodes recorded different versions" };
