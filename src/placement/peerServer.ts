import { initTRPC } from "@trpc/server";
import { nodeHTTPRequestHandler } from "@trpc/server/adapters/node-http";
import type { Server } from "node:http";
import { createServer } from "node:http";
import { z } from "zod";
import { toFailure } from "../core/failures";
import { listenOn } from "../forward/callerServer";
import type { Gateway } from "../forward/gateway";
import { EventId } from "../types/eventId";
import type { ControllerAnnouncement, NodeReport, PeerAnswer, RunnerLoads } from "../types/placement";
import { emit } from "../utils/events";
import type { Controller } from "./controller";

/** Time after which a node that has not sent a report is no longer counted. */
const nodeTtlMs = 5_000;
/** Limits on a peer's request. */
const maxReportBytes = 4_194_304;
const peerRequestTimeoutMs = 5_000;

const reportSchema = z.object({
    node: z.string(),
    peerAddress: z.string(),
    cores: z.number(),
    configVersion: z.number(),
    directoryVersion: z.number(),
    adaptersEpoch: z.number().optional(),
    adaptersRevision: z.number(),
    work: z.array(z.object({ artifact: z.string(), workMs: z.number(), idleMs: z.number() })),
    loads: z.record(z.string(), z.tuple([z.number(), z.number()])),
});
const placementSchema = z.object({
    service: z.string(),
    model: z.string(),
    adapter: z.string().optional(),
    avoid: z.array(z.string()),
    unreachable: z.array(z.string()),
});

interface KnownNode {
    readonly report: NodeReport;
    readonly receivedAt: number;
}

const announcementSchema = z.object({ peerAddress: z.string(), epoch: z.number() });

/** Serves this node's peers: shares its configuration and directory and, as controller, the state of the runners. */
export class PeerServer {
    private readonly nodes = new Map<string, KnownNode>();
    private httpServer: Server | undefined;

    /** Announcement of the controller with the highest known epoch. */
    latestAnnouncement: ControllerAnnouncement | undefined;
    /** Called when a controller with a higher epoch becomes known. */
    onNewController: () => void = () => undefined;

    private constructor(private readonly gateway: Gateway, private readonly controller: Controller) {}

    /** Creates a server that has received no reports yet. */
    static create(gateway: Gateway, controller: Controller): PeerServer {
        return new PeerServer(gateway, controller);
    }

    /** Records that a node has become controller, as announced by itself or relayed by a peer. */
    recordAnnouncement(announcement: ControllerAnnouncement): void {
        if (announcement.epoch > (this.latestAnnouncement?.epoch ?? 0)) {
            this.latestAnnouncement = announcement;
            this.onNewController();
        }
    }

    /** Starts to serve peers on an address. */
    listen(address: string): Promise<void> {
        const router = createPeerServerRouter(this, this.controller);
        this.httpServer = createServer((req, res) => {
            const path = (req.url ?? "/").split("?", 1)[0]!.slice(1);
            nodeHTTPRequestHandler({ router, req, res, path, createContext: () => ({}), maxBodySize: maxReportBytes }).catch((err: unknown) => {
                emit(EventId.PeerExchangeFailed, { peer: req.socket.remoteAddress, detail: toFailure(err).detail });
                res.destroy();
            });
        });
        this.httpServer.headersTimeout = peerRequestTimeoutMs;
        this.httpServer.requestTimeout = peerRequestTimeoutMs;
        return listenOn(this.httpServer, address);
    }

    /** Stops the server and closes its connections. */
    close(): void {
        this.httpServer?.close();
        this.httpServer?.closeAllConnections();
    }

    /** Records a node's report and returns the changes that the node has not seen. */
    exchange(report: NodeReport): PeerAnswer {
        const { gateway, controller } = this;
        this.nodes.set(report.node, { report, receivedAt: performance.now() });
        for (const [id, { receivedAt }] of this.nodes) {
            if (performance.now() - receivedAt > nodeTtlMs) {
                this.nodes.delete(id);
            }
        }
        const { config, configBytes, directory } = gateway;
        const isNewer = config !== undefined && config.version > report.configVersion;
        if (controller.isActive) {
            controller.countWork(report.work);
        }
        return {
            peers: [...this.nodes.values()].map(node => node.report.peerAddress),
            largestCores: Math.max(...[...this.nodes.values()].map(node => node.report.cores)),
            configVersion: config?.version ?? 0,
            config: isNewer ? configBytes?.toString("base64") : undefined,
            directoryVersion: directory.appliedVersion,
            epoch: controller.heldEpoch,
            announced: this.latestAnnouncement,
            confirmedAgoMs: controller.isActive ? gateway.freshness.confirmedAgoMs : undefined,
            yielding: controller.yielding,
            changes: directory.version > report.directoryVersion ? directory.changesSince(report.directoryVersion) : [],
            adapters: controller.isActive ? controller.adaptersSince(report.adaptersEpoch === controller.heldEpoch ? report.adaptersRevision : 0) : undefined,
            loads: controller.isActive ? this.loadsExcluding(report.node) : undefined,
        };
    }

    private loadsExcluding(node: string): RunnerLoads {
        const sums: Record<string, [number, number]> = {};
        for (const { report } of this.nodes.values()) {
            if (report.node === node) {
                continue;
            }
            for (const [runner, [prefillMs, inFlight]] of Object.entries(report.loads)) {
                const sum = sums[runner] ??= [0, 0];
                sum[0] += prefillMs;
                sum[1] += inFlight;
            }
        }
        return sums;
    }
}

const t = initTRPC.create();

const createPeerServerRouter = (peerServer: PeerServer, controller: Controller) =>
    t.router({
        /** Records a node's report and returns the changes that the node has not seen. */
        exchange: t.procedure.input(reportSchema).mutation(({ input }): PeerAnswer => peerServer.exchange(input)),
        /** Receives the announcement that another node has become controller. */
        announce: t.procedure.input(announcementSchema).mutation(({ input }) => peerServer.recordAnnouncement(input)),
        /** Returns where a model or adapter can be used. */
        place: t.procedure.input(placementSchema).mutation(({ input }) => controller.place(input)),
    });

/** Type of the peer server's router, for clients. */
export type PeerServerRouter = ReturnType<typeof createPeerServerRouter>;
