import type { Server } from "node:http";
import { createServer } from "node:http";
import { toFailure } from "../core/failures";
import type { Metrics } from "../plugins/metrics";
import { EventId } from "../types/eventId";
import { GuardedPort } from "../types/guardedPort";
import { emit } from "../utils/events";
import type { Gateway } from "./gateway";
import { isPathLost } from "./peerPath";
import type { PortLimits } from "./portGuard";
import { PortGuard } from "./portGuard";

/** Limits of the ports for readiness and metrics, whose clients are a few and send no bodies. */
const monitoringLimits: PortLimits = { maxConnections: 64, maxBodyBytes: 1_048_576 };

/**
 * Whether the node can serve callers: one that is cut off from the upstreams can as long as peers take its requests. If it cannot send anything itself, a peer must
 * have answered.
 */
const canServe = (gateway: Gateway): boolean => {
    const { contact, peers } = gateway;
    return !isPathLost(gateway) || (!peers.takeNone && (!contact.cannotSend || peers.reach.check() === true));
};

/** Whether the load balancer should send new connections to the node. */
export const isReady = (gateway: Gateway): boolean =>
    gateway.config !== undefined && !gateway.isStopping && gateway.directory.all().length > 0 && canServe(gateway) && gateway.confirmation.isRecent;

/** Creates the server that answers readiness checks of the load balancer with status 200 or 503. */
export const createReadinessServer = (gateway: Gateway, isListening: () => boolean): Server => {
    let lastReady: boolean | undefined;
    const server = createServer((req, res) => {
        const ready = isReady(gateway) && isListening();
        if (ready !== lastReady) {
            lastReady = ready;
            emit(EventId.ReadinessChanged, {
                ready,
                configVersion: gateway.config?.version,
                upstreams: gateway.directory.all().length,
                stopping: gateway.isStopping,
                contact: gateway.contact.state,
                configAgeMs: gateway.confirmation.roundedAgeMs,
                listening: isListening(),
            });
        }
        req.resume();
        res.writeHead(ready ? 200 : 503, { "Content-Length": 0 });
        res.end();
    });
    PortGuard.create(server, gateway, GuardedPort.Readiness, monitoringLimits);
    return server;
};

/** Creates the server that answers every path with the metrics as text. */
export const createMetricsServer = (gateway: Gateway, metrics: Metrics): Server => {
    const server = createServer((req, res) => {
        req.resume();
        metrics.render().then(({ text, contentType }) => {
            res.writeHead(200, { "Content-Type": contentType });
            res.end(text);
        }).catch((err: unknown) => {
            emit(EventId.UnexpectedError, { origin: "metrics", detail: toFailure(err).detail });
            res.destroy();
        });
    });
    PortGuard.create(server, gateway, GuardedPort.Metrics, monitoringLimits);
    return server;
};
