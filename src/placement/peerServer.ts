import { initTRPC } from "@trpc/server";
import { nodeHTTPRequestHandler } from "@trpc/server/adapters/node-http";
import type { Server } from "node:http";
import { createServer } from "node:http";
import { z } from "zod";
import { listenOn } from "../forward/callerServer";
import type { Gateway } from "../forward/gateway";
import type { ControllerAnnouncement, NodeReport, PeerAnswer, RunnerLoads } from "../types/placement";
import type { Controller } from "./controller";

/** A node that has not called for this long is no longer counted. */
const nodeLifetimeMs = 5_000;

const reportSchema = z.object({
    node: z.string(),
    peerAddress: z.string(),
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
    readonly at: number;
}

const announcementSchema = z.object({ peerAddress: z.string(), epoch: z.number() });

/** Answers this node's peers: what it knows of configuration and directory and, as controller, of runners. */
export class PeerServer {
    private readonly nodes = new Map<string, KnownNode>();
    private server: Server | undefined;

    /** The newest controller that is known to have announced itself. */
    latestAnnouncement: ControllerAnnouncement | undefined;
    /** Called when a newer controller is known. */
    onNewController: () => void = () => undefined;

    private constructor(private readonly gateway: Gateway, private readonly controller: Controller) {}

    /** Makes a hub that knows no peers. */
    static create(gateway: Gateway, controller: Controller): PeerServer {
        return new PeerServer(gateway, controller);
    }

    /** Notes that a node has become controller, as it said itself or a peer passed on. */
    recordAnnouncement(announcement: ControllerAnnouncement): void {
        if (announcement.epoch > (this.latestAnnouncement?.epoch ?? 0)) {
            this.latestAnnouncement = announcement;
            this.onNewController();
        }
    }

    /** Answers peers on an address. */
    listen(address: string): Promise<void> {
        const router = createHubRouter(this, this.controller);
        this.server = createServer((req, res) =>
            void nodeHTTPRequestHandler({ router, req, res, path: new URL(req.url ?? "/", "http://node").pathname.slice(1), createContext: () => ({}) })
        );
        return listenOn(this.server, address);
    }

    /** Answers no more. */
    close(): void {
        this.server?.close();
        this.server?.closeAllConnections();
    }

    /** Takes a node's report and answers with what it lacks. */
    exchange(report: NodeReport): PeerAnswer {
        const { gateway, controller } = this;
        this.nodes.set(report.node, { report, at: performance.now() });
        for (const [id, { at }] of this.nodes) {
            if (performance.now() - at > nodeLifetimeMs) {
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
            configVersion: config?.version ?? 0,
            config: isNewer ? configBytes?.toString("base64") : undefined,
            directoryVersion: directory.appliedVersion,
            epoch: controller.heldEpoch,
            announced: this.latestAnnouncement,
            confirmedAgoMs: controller.isActive ? gateway.freshness.confirmedAgoMs : undefined,
            yielding: controller.yielding,
            changes: directory.version > report.directoryVersion ? directory.changesSince(report.directoryVersion) : [],
            adapters: controller.isActive ? controller.adaptersSince(report.adaptersEpoch === controller.heldEpoch ? report.adaptersRevision : 0) : undefined,
            loads: controller.isActive ? this.loadsWithout(report.node) : undefined,
        };
    }

    private loadsWithout(node: string): RunnerLoads {
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

const createHubRouter = (hub: PeerServer, controller: Controller) =>
    t.router({
        /** Takes a node's report and answers with what it lacks. */
        exchange: t.procedure.input(reportSchema).mutation(({ input }): PeerAnswer => hub.exchange(input)),
        /** Hears that another node has become controller. */
        announce: t.procedure.input(announcementSchema).mutation(({ input }) => hub.recordAnnouncement(input)),
        /** Says where a model or adapter can be used. */
        place: t.procedure.input(placementSchema).mutation(({ input }) => controller.place(input)),
    });

/** Type of the hub's router, for clients. */
export type PeerServerRouter = ReturnType<typeof createHubRouter>;
