import { raise } from "../core/failures";
import type { CallerRecord } from "../core/recordSchemas";
import type { NodeContext } from "../node/context";
import { FailureKind } from "../types/failureKind";
import type { HttpExchange } from "../types/httpExchange";
import { sha256Hex } from "../utils/hash";
import { readBody } from "../utils/transport";

/** Header with the caller's deadline, in milliseconds from the start of the request. */
export const deadlineHeader = "jackdawtrail-deadline-ms";

/** Returns the bearer token of a request. */
export const bearerTokenOf = ({ req }: HttpExchange): string => {
    const header = req.headers.authorization;
    if (header === undefined) {
        return raise(FailureKind.MissingKey, "the Authorization header is missing; send Authorization: Bearer <key>");
    }
    const match = /^Bearer\s+(\S+)$/i.exec(header);
    return match?.[1] ?? raise(FailureKind.WrongKey, "the Authorization header is not a bearer key");
};

/** Returns the caller whose key the request carries. */
export const authenticate = (node: NodeContext, exchange: HttpExchange): CallerRecord => {
    const key = bearerTokenOf(exchange);
    if (node.config.sequence === 0) {
        return raise(FailureKind.NotReady, "no configuration has been read yet", undefined, { retryAfterMs: 1_000 });
    }
    return node.config.callerByKeyHash(sha256Hex(key)) ?? raise(FailureKind.WrongKey, "no caller record has this key");
};

/** Returns the deadline of a request on the monotonic clock; no later than the default deadline. */
export const deadlineOf = (node: NodeContext, { req, startedAt }: HttpExchange): number => {
    const header = req.headers[deadlineHeader];
    if (header === undefined) {
        return startedAt + node.cfg.defaultDeadlineMs;
    }
    const ms = Number(header);
    if (!Number.isFinite(ms)) {
        return raise(FailureKind.BadRequest, `${deadlineHeader} is not a number of milliseconds`);
    }
    if (ms <= 0) {
        return raise(FailureKind.DeadlineExpired, "the deadline had already expired on arrival");
    }
    return startedAt + Math.min(ms, node.cfg.defaultDeadlineMs);
};

/** Reads the whole body within the node's size limit and timeout. */
export const readWholeBody = async (node: NodeContext, { req }: HttpExchange): Promise<Buffer> => {
    const { maxBodyBytes, bodyTimeoutMs } = node.cfg;
    const result = await readBody(req, { maxBytes: maxBodyBytes, timeoutMs: bodyTimeoutMs });
    switch (result.kind) {
        case "whole":
            return result.body;
        case "too-large":
            return raise(FailureKind.BodyTooLarge, `the body exceeds ${maxBodyBytes} bytes`);
        case "slow":
            return raise(FailureKind.SlowSender, `the body must arrive within ${bodyTimeoutMs} ms`);
        default:
            return raise(FailureKind.CallerGone, "the caller disconnected while the body was read");
    }
};

/** Parses a body that must be a JSON object. */
export const parseJsonObject = (body: Buffer): Readonly<Record<string, unknown>> => {
    let value: unknown;
    try {
        value = JSON.parse(body.toString("utf8"));
    }
    catch (err) {
        return raise(FailureKind.BadJson, err instanceof Error ? err.message : "not JSON");
    }
    if (typeof value !== "object" || !value || Array.isArray(value)) {
        return raise(FailureKind.BadRequest, "the body is not a JSON object");
    }
    return value as Readonly<Record<string, unknown>>;
};
