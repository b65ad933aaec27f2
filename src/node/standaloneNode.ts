import { randomUUID } from "node:crypto";
import { AdmissionQueue } from "../core/admissionQueue";
import { ConfigStore } from "../core/configStore";
import { DigestStore } from "../core/digestStore";
import { Fleet } from "../core/fleet";
import { PrefixHints } from "../core/prefixHints";
import { RequestRateMeter } from "../core/requestRateMeter";
import type { StandaloneNodeServer } from "../plugins/standaloneNodeServer";
import { EventId } from "../types/eventId";
import type { HttpRoute } from "../types/httpExchange";
import { emit } from "../utils/events";
import { StartStep, startTimes } from "../utils/startTimes";
import { sleep } from "../utils/time";
import type { NodeContext, NodePlugin } from "./context";
import { NodeStage } from "./context";
import type { StandaloneNodeSettings } from "./standaloneNodeSettings";

/** External services and sources that a node depends on. */
export type NodeDependencies = Pick<NodeContext, "table" | "objects" | "vmList" | "engines" | "random">;

/** A standalone node, which uses the product's own interface: the state that its components share, startup and graceful shutdown. */
export class StandaloneNode {
    private readonly plugins: NodePlugin[] = [];
    private server: StandaloneNodeServer | undefined;
    private hasStarted = false;

    private constructor(readonly context: NodeContext, private readonly background: AbortController) {}

    /** Creates a node that has not started. */
    static create(cfg: StandaloneNodeSettings, dependencies: NodeDependencies): StandaloneNode {
        const background = new AbortController();
        const digests = DigestStore.create(cfg.nodeId);
        return new StandaloneNode({
            ...dependencies,
            cfg,
            incarnation: randomUUID(),
            config: ConfigStore.create(),
            digests,
            fleet: Fleet.create(digests),
            demand: RequestRateMeter.create(),
            hints: PrefixHints.create(),
            queue: AdmissionQueue.create(cfg.queueCapacity),
            limits: new Map(),
            budgets: new Map(),
            reports: new Map(),
            drains: [],
            signal: background.signal,
            stage: NodeStage.Starting,
            inProgress: 0,
        }, background);
    }

    /** Registers optional components; they are started in this order. */
    use(...plugins: readonly NodePlugin[]): this {
        this.plugins.push(...plugins);
        return this;
    }

    /** Opens the listener, as soon as its address can be used, and starts the components, unless the node is stopped meanwhile. */
    async start(server: StandaloneNodeServer): Promise<void> {
        this.server = server;
        server.addRoutes(...this.healthRoutes());
        if (!await server.listen() || this.isStopping) {
            return;
        }
        const { nodeId, listen, availabilityZone } = this.context.cfg;
        startTimes.mark(StartStep.Started);
        emit(EventId.NodeStarted, { node: nodeId, listen, availabilityZone, startMs: startTimes.summary });
        for (const plugin of this.plugins) {
            if (this.isStopping) {
                return;
            }
            await plugin.start(this.context);
        }
        this.hasStarted = true;
    }

    private get isStopping(): boolean {
        return this.context.stage === NodeStage.Stopping || this.context.stage === NodeStage.Stopped;
    }

    /**
     * Stops gracefully: reports not ready, releases leases, closes the listener, then finishes requests in progress. Returns the number of
     * requests cut off.
     */
    async stop(): Promise<number> {
        const { context } = this;
        if (this.isStopping) {
            return 0;
        }
        context.stage = NodeStage.Stopping;
        emit(EventId.NodeStopping, { inProgress: context.inProgress });
        const deadlineAt = performance.now() + context.cfg.stopGraceMs;
        const stopped = new AbortController();
        const pluginsStopped = Promise.all(this.plugins.map(plugin => plugin.stop?.())).finally(() => stopped.abort());
        await Promise.race([pluginsStopped, sleep(context.cfg.stopGraceMs, stopped.signal)]);
        if (this.hasStarted) {
            await sleep(Math.min(context.cfg.stopNoticeMs, Math.max(0, deadlineAt - performance.now())));
        }
        await this.server?.close(deadlineAt);
        return this.terminate();
    }

    /** Stops at once. Returns the number of requests cut off. */
    terminate(): number {
        const cutOffCount = this.context.inProgress;
        this.background.abort();
        this.server?.destroyConnections();
        emit(cutOffCount > 0 ? EventId.NodeCutOff : EventId.NodeStopped, { requests: cutOffCount });
        this.context.stage = NodeStage.Stopped;
        return cutOffCount;
    }

    private healthRoutes(): readonly HttpRoute[] {
        const healthRoute = (path: string, isHealthy: () => boolean): HttpRoute => ({
            path,
            methods: ["GET", "HEAD"],
            handle: ({ res }) => {
                res.writeHead(isHealthy() ? 200 : 503, { "content-type": "application/json" });
                res.end(JSON.stringify({ stage: this.context.stage, configSequence: this.context.config.sequence }));
            },
        });
        return [healthRoute("/healthz", () => true), healthRoute("/readyz", () => this.isReady())];
    }

    /** Ready once a configuration is in force and the fleet is known. */
    private isReady(): boolean {
        const { context } = this;
        if (context.stage === NodeStage.Starting && context.config.sequence > 0 && context.fleet.runners().length > 0) {
            context.stage = NodeStage.Ready;
            emit(EventId.NodeReady, { configSequence: context.config.sequence });
        }
        return context.stage === NodeStage.Ready;
    }
}
