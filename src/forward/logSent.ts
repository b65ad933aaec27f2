import type { UpstreamChoice } from "../core/chooseUpstream";
import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import type { Call } from "./call";

/** Logs that a request is sent to an upstream. */
export const logSent = ({ caller, configVersion }: Call, { candidate: { server, traffic }, predictedMs }: UpstreamChoice, send: number): void =>
    emit(EventId.RequestSent, {
        request: caller.requestId,
        upstream: server.id,
        softwareVersion: server.softwareVersion,
        resumes: caller.resumedRequestId,
        send,
        predictedMs: Math.round(predictedMs),
        load: Math.round(traffic.load),
        loadAgeMs: Math.round(traffic.reportAgeMs),
        pace: traffic.reportsPace ? Math.round(traffic.pace * 100) / 100 : undefined,
        configVersion,
    });
