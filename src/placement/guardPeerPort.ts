import type { IncomingMessage, Server } from "node:http";
import type { Gateway } from "../forward/gateway";
import { PortGuard } from "../forward/portGuard";
import { GuardedPort } from "../types/guardedPort";

/** Share of the process's descriptors that connections of peers may take, and their least number. All nodes of a fleet report to the controller's. */
const connectionShare = 0.25;
const minConnections = 64;
/** Reports of the largest size that may arrive at once. */
const maxLargestReports = 2;

/** Bounds what connections to the port for peers hold. Bodies of callers' requests that peers pass on have limits of their own. */
export const guardPeerPort = (server: Server, gateway: Gateway, maxReportBytes: number, isRelayed: (req: IncomingMessage) => boolean): void => {
    PortGuard.create(server, gateway, GuardedPort.Peers, {
        maxConnections: Math.max(minConnections, connectionShare * gateway.settings.maxDescriptors),
        maxBodyBytes: maxLargestReports * maxReportBytes,
        isBodyCounted: req => !isRelayed(req),
    });
};
