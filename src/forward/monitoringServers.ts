import type { Server } from "node:http";
import { createServer } from "node:http";
import { toFailure } from "../core/failures";
import type { Metrics } from "../plugins/metrics";
import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import { listenOn } from "../utils/listenOn";
import type { Gateway } from "./gateway";
import { isPathLost } from "./peerPath";

/** Whether the node can serve callers: one that is cut off from the upstreams can as long as peers take its requests. */
const canServe = (gateway: Gateway): boolean => !isPathLost(gateway) || !gateway.peers.takeNone;

/** Whether the load balancer should send new connections to the node. */
export const isReady = (gateway: Gateway): boolean =>
    gateway.config !== undefined && !gateway.isStopping && gateway.directory.all().length > 0 && canServe(gateway);

/** Answers readiness checks of the load balancer with status 200 or 503. Returns the server. */
export const serveReadiness = async (gateway: Gateway, address: string): Promise<Server> => {
    let lastReady: boolean | undefined;
    const server = createServer((req, res) => {
        const ready = isReady(gateway);
        if (ready !== lastReady) {
            lastReady = ready;
            emit(EventId.ReadinessChanged, {
                ready,
                configVersion: gateway.config?.version,
                upstreams: gateway.directory.all().length,
                stopping: gateway.isStopping,
                contact: gateway.contact.state,
            });
        }
        req.resume();
        res.writeHead(ready ? 200 : 503, { "Content-Length": 0 });
        res.end();
    });
    await listenOn(server, address);
    return server;
};

/** Serves the metrics as text on every path. */
export const serveMetrics = async (metrics: Metrics, address: string): Promise<void> => {
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
    await listenOn(server, address);
};
