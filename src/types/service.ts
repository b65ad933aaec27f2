import type { ClaimOutcome } from "../core/claims";

/** A call that a node forwards to a plain service. */
export interface ServiceRequest {
    readonly attemptId: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
    /** Whether the call may be repeated; one that must not be is sent over its own connection. */
    readonly repeatable: boolean;
    readonly timeoutMs: number;
}

/** A client of plain services; throws a failure with its verdict. */
export interface ServiceClient {
    call(url: string, req: ServiceRequest): Promise<ClaimOutcome>;
}
