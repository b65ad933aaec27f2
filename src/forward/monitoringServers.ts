import { createServer } from "node:http";
import type { Metrics } from "../plugins/metrics";
import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import { listenOn } from "./callerServer";
import type { Gateway } from "./gateway";

/** Whether the node should get new connections. */
export const isReady = (gateway: Gateway): boolean => gateway.config !== undefined && !gateway.isStopping && gateway.directory.all().length > 0;

/** Tells the balancer whether the node is ready. */
export const serveReadiness = async (gateway: Gateway, address: string): Promise<void> => {
    let last: boolean | undefined;
    const server = createServer((req, res) => {
        const ready = isReady(gateway);
        if (ready !== last) {
            last = ready;
            emit(EventId.ReadinessChanged, {
                ready,
                configVersion: gateway.config?.version,
                upstreams: gateway.directory.all().length,
                stopping: gateway.isStopping,
            });
        }
        req.resume();
        res.writeHead(ready ? 200 : 503, { "Content-Length": 0 });
        res.end();
    });
    await listenOn(server, address);
};

/** Serves the metrics as text, under any path. */
export const serveMetrics = async (metrics: Metrics, address: string): Promise<void> => {
    const server = createServer((req, res) => {
        req.resume();
        void metrics.render().then(({ text, contentType }) => {
            res.writeHead(200, { "Content-Type": contentType });
            res.end(text);
        });
    });
    await listenOn(server, address);
};
