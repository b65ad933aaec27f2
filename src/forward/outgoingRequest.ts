import type { AnswerRelay } from "./answerRelay";
import type { OutgoingRequest } from "./attempt";
import type { Call } from "./call";
import { mayRepeat } from "./call";
import type { Gateway } from "./gateway";
import { encodeRelayed } from "./relayHeaders";
import { recordedVersionOf } from "./versionPin";

/** Margin by which the deadline sent to upstreams precedes the real one, so that their answer still arrives in time. */
const returnMarginMs = 8;
/** Request-Priority of the most and the least urgent routes; requests without a priority have 5. */
const mostUrgentPriority = 3;
const leastUrgentPriority = 9;

const dropHeaders = (headers: readonly string[], isDropped: (name: string) => boolean): string[] => {
    const kept: string[] = [];
    for (let index = 0; index < headers.length; index += 2) {
        if (!isDropped(headers[index]!.toLowerCase())) {
            kept.push(headers[index]!, headers[index + 1]!);
        }
    }
    return kept;
};

/** Headers of the caller that are forwarded: where customers are declared, none of its own names a customer or a key. */
const forwardedHeaders = ({ customers, wire }: Gateway, { headers }: Call): readonly string[] =>
    customers ? dropHeaders(headers, wire.isCustomerHeader) : headers;

const runnerPriorityOf = ({ priorityLevels }: Gateway, { priority, route }: Call): number =>
    priorityLevels?.levelOf(priority) ?? Math.min(leastUrgentPriority, mostUrgentPriority + route.priority);

const remainingMsOf = ({ deadlineAt }: Call): number => deadlineAt - performance.now() - returnMarginMs;

/** The request with the headers of one attempt: a stream that has begun goes on after the last event that the caller has received. */
const toRequest = (gateway: Gateway, call: Call, relay: AnswerRelay, upstreamId: string | undefined, priority?: number): OutgoingRequest => {
    const { req, route, caller, keyDigest } = call;
    const isResumed = relay.lastEventId !== undefined && relay.lastEventId !== caller.lastEventId;
    const headers = forwardedHeaders(gateway, call);
    const forwarded = isResumed ? dropHeaders(headers, name => name === "last-event-id") : headers;
    return {
        requestId: caller.requestId,
        method: req.method ?? "GET",
        path: req.url ?? "/",
        headers: [
            ...forwarded,
            ...gateway.wire.encodeAttempt({
                upstreamId,
                remainingMs: remainingMsOf(call),
                priority,
                lastEventId: isResumed ? relay.lastEventId : undefined,
                customer: route.isPublic === true ? undefined : gateway.customers?.find(keyDigest)?.name,
            }),
        ],
        body: call.body,
        onSend: socket => call.bodyMemory?.onSend(socket),
        mayRepeat: mayRepeat(route),
    };
};

/** The request as it is sent to an upstream. */
export const toOutgoingRequest = (gateway: Gateway, call: Call, relay: AnswerRelay, upstreamId: string): OutgoingRequest =>
    toRequest(gateway, call, relay, upstreamId, call.caller.modelRequest ? runnerPriorityOf(gateway, call) : undefined);

/** The request as it is passed on to a peer, which may run it up to a number of times. */
export const toRelayedRequest = (gateway: Gateway, call: Call, relay: AnswerRelay, maxRuns: number): OutgoingRequest => {
    const req = toRequest(gateway, call, relay, undefined);
    const [name, value] = encodeRelayed({
        node: gateway.settings.nodeId,
        elapsedMs: Math.max(0, performance.now() - call.startedAt),
        remainingMs: Math.max(1, remainingMsOf(call)),
        configVersion: call.configVersion,
        service: call.service,
        maxRuns,
        streamVersion: call.versionPin.version,
        recordedVersion: recordedVersionOf(gateway, call),
        keyDigest: gateway.customers ? call.keyDigest : undefined,
        isUsageCharged: call.customer?.limit ? true : undefined,
    });
    return { ...req, headers: [...req.headers, name, value] };
};
