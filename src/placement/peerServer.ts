import { initTRPC } from "@trpc/server";
import { nodeHTTPRequestHandler } from "@trpc/server/adapters/node-http";
import { randomUUID } from "node:crypto";
import type { Server } from "node:http";
import { createServer } from "node:http";
import { z } from "zod";
import { toFailure } from "../core/failures";
import { RequestPacer } from "../core/requestPacer";
import type { Gateway } from "../forward/gateway";
import { maxRelayHeaderBytes } from "../forward/relayHeaders";
import type { RelayIntake } from "../forward/relayIntake";
import { maxPartIdLength, maxSuspectParts } from "../forward/suspectParts";
import { EventId } from "../types/eventId";
import type { ControllerAnnouncement, NodeReport, PeerAnswer } from "../types/placement";
import type { PeerPermitRequest, Permit, PlaceReport } from "../types/sendPermit";
import { emit } from "../utils/events";
import type { ServerPort } from "../utils/listenOn";
import { listenOn } from "../utils/listenOn";
import type { Controller } from "./controller";
import type { ControllerLink } from "./controllerLink";
import { serveDirectory } from "./directoryExchange";
import { FactExchange } from "./factExchange";
import { guardPeerPort } from "./guardPeerPort";
import { age, brittleUpstreams, hostAddress, leavingUpstreams, quantity, sharedSpeeds, storeVersion } from "./peerSchemas";
import { permitSchema, placeReportSchema } from "./permitSchemas";
import { addLoads, ReportedNodes } from "./reportedNodes";
import type { UsageService } from "./usageService";
import { VersionedPeers } from "./versionedPeers";

/** Limits on a peer's request. */
const maxReportBytes = 4_194_304;
const peerRequestTimeoutMs = 5_000;
/** Callers' requests that peers pass on have headers of the size that callers may send. */
const maxHeaderBytes = 262_144;

/** Limits on the shared facts of one report. */
const maxReportedCrashes = 1_024;
const maxSuspects = 1_024;

const partsSchema = z.array(z.string().max(maxPartIdLength)).max(maxSuspectParts);
const factReportSchema = z.object({
    source: z.string().optional(),
    knownRevision: z.number(),
    facts: z.object({
        crashes: z.array(z.object({
            id: z.string().max(maxPartIdLength),
            ageMs: age,
            suspects: z.array(partsSchema).max(maxSuspects),
            cleared: z.array(z.string().max(maxPartIdLength)),
        })).max(maxReportedCrashes),
        limits: z.array(z.object({ runner: z.string().max(maxPartIdLength), perSecond: quantity.optional(), ageMs: age })),
        leaving: leavingUpstreams.optional(),
        brittle: brittleUpstreams.optional(),
        speeds: sharedSpeeds.optional(),
    }),
});
const peerNodeSchema = z.object({ address: hostAddress, zone: z.string(), cores: quantity });
const reportSchema = z.object({
    node: z.string(),
    peerAddress: hostAddress,
    zone: z.string(),
    cores: quantity,
    reachesUpstreams: z.boolean().optional(),
    members: z.array(peerNodeSchema),
    source: z.string().optional(),
    peersVersion: z.number(),
    configVersion: z.number(),
    directoryVersion: storeVersion,
    adaptersEpoch: storeVersion.optional(),
    adaptersRevision: z.number(),
    work: z.array(z.object({ artifact: z.string(), workMs: quantity, idleMs: age })),
    loads: z.record(z.string(), z.tuple([quantity, quantity])),
    facts: factReportSchema.optional(),
});
const placementSchema = z.object({
    service: z.string(),
    model: z.string(),
    adapter: z.string().optional(),
    versions: z.object({ only: z.string().optional(), excluded: z.array(z.string()) }).optional(),
    avoid: z.array(z.string()),
    unreachable: z.array(z.string()),
});

const announcementSchema = z.object({ peerAddress: hostAddress, epoch: storeVersion });

/** Serves this node's peers: shares its configuration and directory and, as controller, the state of the runners. */
export class PeerServer {
    /** The nodes that report to this one, as the controller or a relay. */
    readonly nodes = ReportedNodes.create();
    readonly facts: FactExchange;
    /** Gives the turns at the runners that this node paces. */
    readonly pacer = RequestPacer.create();
    private readonly peerList = VersionedPeers.create();
    private httpServer: Server | undefined;
    /** Identifies this process as the source of revisions, which start anew with it. */
    private readonly source = randomUUID();

    /** Announcement of the controller with the highest known epoch. */
    latestAnnouncement: ControllerAnnouncement | undefined;
    /** Takes callers' requests that peers pass on; without it, they are refused. */
    relayIntake: RelayIntake | undefined;
    /** Decides on the charges of customers; without it, they are not decided. */
    usage: UsageService | undefined;
    /** Called when a controller with a higher epoch becomes known. */
    onNewController: () => void = () => undefined;

    private constructor(private readonly gateway: Gateway, private readonly controller: Controller, private readonly link: ControllerLink) {
        this.facts = FactExchange.create(gateway.factCounter, gateway.crashLog, gateway.runnerLimits, gateway.availability, gateway.learnedSpeeds);
    }

    /** Creates a server that has received no reports yet. */
    static create(gateway: Gateway, controller: Controller, link: ControllerLink): PeerServer {
        return new PeerServer(gateway, controller, link);
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
        return listenOn(this.port(address).server, address);
    }

    /** The server for peers, with the address at which it is to listen. */
    port(address: string): ServerPort {
        const router = createPeerServerRouter(this, this.controller);
        this.httpServer = createServer({ maxHeaderSize: maxHeaderBytes + maxRelayHeaderBytes, noDelay: true }, (req, res) => {
            if (this.relayIntake?.isRelayed(req)) {
                this.relayIntake.handle(req, res);
                return;
            }
            const timer = setTimeout(() => req.destroy(), peerRequestTimeoutMs);
            req.once("close", () => clearTimeout(timer));
            const path = (req.url ?? "/").split("?", 1)[0]!.slice(1);
            nodeHTTPRequestHandler({ router, req, res, path, createContext: () => ({}), maxBodySize: maxReportBytes }).catch((err: unknown) => {
                emit(EventId.PeerExchangeFailed, { peer: req.socket.remoteAddress, detail: toFailure(err).detail });
                res.destroy();
            });
        });
        guardPeerPort(this.httpServer, this.gateway, maxReportBytes, req => this.relayIntake?.isRelayed(req) === true);
        this.httpServer.headersTimeout = peerRequestTimeoutMs;
        // A body that a peer passes on may wait for memory: it has limits of its own.
        this.httpServer.requestTimeout = 0;
        return { server: this.httpServer, address };
    }

    /** Stops the server and closes its connections. */
    close(): void {
        this.httpServer?.close();
        this.httpServer?.closeAllConnections();
    }

    /** Gives a turn or a place, or decides on charges of customers. */
    async permit(req: PeerPermitRequest): Promise<Permit> {
        return req.usage ? { isGranted: true, waitMs: 0, usage: await this.usage?.answer(req.usage) } : this.pacer.acquire(req);
    }

    /** Takes places and charges back. */
    takeBack(report: PlaceReport): void {
        this.pacer.rooms.report(report);
        report.usage?.forEach(returned => this.usage?.giveBack(returned));
    }

    /** Records a node's report and returns what the node has not seen. */
    exchange(report: NodeReport): PeerAnswer {
        const { gateway, controller } = this;
        this.nodes.add(report);
        this.usage?.onReport(report.zone);
        const { config, configBytes, confirmation, directory } = gateway;
        if (report.peerAddress !== gateway.settings.peerAddress) {
            confirmation.onPeerReport(report.configVersion);
        }
        const isNewer = config !== undefined && config.version > report.configVersion;
        return {
            configVersion: config?.version ?? 0,
            config: isNewer ? configBytes?.toString("base64") : undefined,
            ...serveDirectory(directory, report.directoryVersion),
            announced: this.latestAnnouncement,
            confirmedAgoMs: controller.isActive ? gateway.freshness.confirmedAgoMs : gateway.freshness.knownAgoMs,
            configAgeMs: Number.isFinite(confirmation.ageMs) ? confirmation.ageMs : undefined,
            yielding: controller.yielding,
            facts: report.facts && this.facts.serve(report.facts),
            ...this.controllerPart(report),
        };
    }

    /** What the controller says: this node itself, or the controller that it reports to. */
    private controllerPart(
        report: NodeReport,
    ): Pick<PeerAnswer, "source" | "epoch" | "controllerAgoMs" | "peers" | "peersVersion" | "nodeCount" | "adapters" | "loads"> {
        const { controller, link, gateway } = this;
        const isActive = controller.isActive;
        if (!isActive && !link.isRelaying) {
            return { peersVersion: 0, nodeCount: link.nodeCount };
        }
        const epoch = isActive ? controller.heldEpoch : link.epoch;
        const isKnownSource = report.source === this.source && report.adaptersEpoch === epoch;
        const adaptersRevision = isKnownSource ? report.adaptersRevision : 0;
        if (isActive) {
            controller.countWork(report.work);
            this.peerList.update(this.nodes.members);
        }
        else {
            link.addMemberWork(report.work);
            this.peerList.update(link.peers);
        }
        const { peers, version } = this.peerList;
        const loads = this.nodes.loadsExcluding(report.node);
        if (!isActive) {
            addLoads(loads, link.loads);
            addLoads(loads, gateway.ownLoads());
        }
        return {
            source: this.source,
            epoch,
            controllerAgoMs: isActive ? 0 : link.ageMs,
            peers: isKnownSource && report.peersVersion === version ? undefined : peers,
            peersVersion: version,
            nodeCount: peers.length,
            adapters: isActive ? controller.adaptersSince(adaptersRevision) : link.adapters.since(adaptersRevision),
            loads,
        };
    }
}

const t = initTRPC.create();

const createPeerServerRouter = (peerServer: PeerServer, controller: Controller) =>
    t.router({
        /** Records a node's report and returns the changes that the node has not seen. */
        exchange: t.procedure.input(reportSchema).mutation(({ input }): PeerAnswer => peerServer.exchange(input)),
        /** Receives the announcement that another node has become controller. */
        announce: t.procedure.input(announcementSchema).mutation(({ input }) => peerServer.recordAnnouncement(input)),
        /** Returns the next turn at a runner that has named a limit, or a place at a brittle one, which this node paces; or decides on charges of customers. */
        permit: t.procedure.input(permitSchema).mutation(({ input }) => peerServer.permit(input)),
        /** Takes places of brittle runners back that this node paces, and charges of customers whose home it is. */
        places: t.procedure.input(placeReportSchema).mutation(({ input }) => peerServer.takeBack(input)),
        /** Returns where a model or adapter can be used. */
        place: t.procedure.input(placementSchema).mutation(({ input }) => controller.place(input)),
    });

/** Type of the peer server's router, for clients. */
export type PeerServerRouter = ReturnType<typeof createPeerServerRouter>;
