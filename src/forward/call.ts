import type { IncomingMessage, ServerResponse } from "node:http";
import type { Customer } from "../types/customer";
import type { CallerHeaders } from "../types/requestHeaderCodec";
import type { ServiceRoute } from "../types/servingConfig";
import { RouteKind } from "../types/servingConfig";
import type { BodyMemory } from "./bodyMemory";
import type { CallerPresence } from "./callerPresence";
import type { RequestProgress } from "./requestProgress";
import type { VersionPin } from "./versionPin";

/** A caller's request that has been read and matched to a route. Times are on the monotonic clock. */
export interface Call {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly caller: CallerHeaders;
    readonly route: ServiceRoute;
    /** The customer that the key named when the request was read; undefined on public routes and where no customers are declared. */
    readonly customer: Customer | undefined;
    /** SHA-256 of the key, also where none is needed yet. It is sent to peers and must not be logged. */
    readonly keyDigest: string | undefined;
    /** Order in queues, 0 first: the customer's priority before the route's; the route's alone where no customers are declared. */
    readonly priority: number;
    readonly service: string;
    readonly configVersion: number;
    /** Headers to forward, names and values alternating. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /** Where a large body lies. */
    readonly bodyMemory: BodyMemory | undefined;
    /** What this request has in common with others and a crash of its runner may come from, the more common first: prompt parts and request keys. */
    readonly suspectParts: readonly string[];
    readonly startedAt: number;
    /** When the final answer is due: the caller's deadline or the route's timeout, whichever is sooner. */
    readonly deadlineAt: number;
    readonly versionPin: VersionPin;
    readonly presence: CallerPresence;
    readonly progress: RequestProgress;
    /** Aborts when the caller disconnects. */
    readonly signal: AbortSignal;
}

/** Whether requests of a route may run more than once. */
export const mayRepeat = ({ kind, isResumable }: ServiceRoute): boolean => kind === RouteKind.Idempotent || (kind === RouteKind.Streaming && isResumable);
