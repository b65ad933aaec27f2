import { EventId } from "../types/eventId";
import { RouteKind } from "../types/servingConfig";
import type { UpstreamServer } from "../types/upstreamServer";
import { processKey } from "../types/upstreamServer";
import { emit } from "../utils/events";
import { sleep } from "../utils/time";
import type { Call } from "./call";
import { mayRepeat } from "./call";
import type { Gateway } from "./gateway";
import { probeAddress, UpstreamLife } from "./probeAddress";

/** A process that ends may close its connections some milliseconds before it stops listening. */
const maxStreamPauseMs = 100;
/** Maximum share of the request's remaining time that the pause takes. */
const maxPauseShare = 0.5;
/** Time after which a connection attempt counts as unanswered. */
const maxConnectMs = 300;

/** Whether a refused connection may be due to this node's own path: another upstream's failed since, and none answered over a new one. */
const mayBeOwnPath = async ({ contact, contactMonitor }: Gateway, server: UpstreamServer, since: number, deadlineAt: number): Promise<boolean> => {
    const isConfirmed = await Promise.race([contactMonitor?.confirm(server, since), sleep(Math.max(0, deadlineAt - performance.now()))]);
    return isConfirmed === false && contact.hasFailedBeside(processKey(server), since);
};

/**
 * Whether an answer that ended with its connection counts as cut off. The connections of a process that crashes are closed like those of one that has
 * finished, so the answer counts as complete only if its upstream lives. If that cannot be found out, also because the process exits, a stream that may be resumed is.
 */
export const isCutOffWithUpstream = async (gateway: Gateway, call: Call, server: UpstreamServer): Promise<boolean> => {
    const { route, caller: { requestId }, signal } = call;
    const deadlineAt = Math.min(call.deadlineAt, gateway.exitDeadlineAt);
    const endedAt = performance.now();
    const isStream = route.kind === RouteKind.Streaming;
    if (isStream) {
        await sleep(Math.min(maxStreamPauseMs, maxPauseShare * Math.max(0, deadlineAt - endedAt)), signal);
    }
    const found = await probeAddress(server.address, Math.max(1, Math.min(maxConnectMs, deadlineAt - performance.now())), signal);
    const life = found === UpstreamLife.Ended && await mayBeOwnPath(gateway, server, endedAt, deadlineAt) ? UpstreamLife.Unknown : found;
    const isCutOff = life === UpstreamLife.Ended || (life === UpstreamLife.Unknown && isStream && mayRepeat(route));
    emit(EventId.AnswerEndChecked, { request: requestId, upstream: server.id, life, isCutOff, afterMs: Math.round(performance.now() - endedAt) });
    return isCutOff;
};
