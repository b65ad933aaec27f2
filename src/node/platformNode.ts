import { TableFollower } from "../core/tableFollower";
import { CallerServer } from "../forward/callerServer";
import { Gateway } from "../forward/gateway";
import { serveReadiness } from "../forward/readyServer";
import { watchConfig, watchDirectory } from "../forward/storeWatch";
import { decodeConfig } from "../platform/configDecoder";
import { decodeServer } from "../platform/directoryDecoder";
import { requestHeaders } from "../platform/requestHeaders";
import { StoreClient } from "../platform/storeClient";
import { platformTables } from "../platform/tables";
import { EventId } from "../types/eventId";
import type { NodeSettings } from "../types/nodeSettings";
import { emit } from "../utils/events";
import { createRandom } from "../utils/random";
import { sleep } from "../utils/time";

/** Time for which a stopping node still takes new connections: the balancer needs two missed questions, a second apart. */
const noticeMs = 2_600;
/** The process is gone this long before the platform would kill it. */
const exitMarginMs = 600;
const pollMs = 50;

/** A node on the platform: forwards callers' requests, and takes its part in placing models. */
export class PlatformNode {
    private readonly stopped = new AbortController();

    private constructor(private readonly settings: NodeSettings, private readonly gateway: Gateway, private readonly server: CallerServer) {}

    /** Makes a node that does not listen yet. */
    static create(settings: NodeSettings): PlatformNode {
        const gateway = Gateway.create(settings, requestHeaders, createRandom(Date.now() ^ process.pid));
        return new PlatformNode(settings, gateway, CallerServer.create(gateway));
    }

    /** Follows the store and takes requests. */
    async start(): Promise<void> {
        const { settings, gateway, server } = this;
        const store = StoreClient.create(settings.storeAddress);
        const configRows = watchConfig(gateway, platformTables.configKey, decodeConfig, () => server.applyLimits());
        const config = TableFollower.create(store, platformTables.config, configRows, gateway.random);
        const directory = TableFollower.create(store, platformTables.directory, watchDirectory(gateway, decodeServer), gateway.random);
        void config.run(this.stopped.signal);
        void directory.run(this.stopped.signal);
        await Promise.all([serveReadiness(gateway, settings.readyAddress), server.listen(settings.callerAddress)]);
        emit(EventId.NodeStarted, { node: settings.nodeId, zone: settings.availabilityZone, store: settings.storeAddress });
    }

    /** Ends gracefully: not ready first, then no new connections, then what is in progress. Returns the requests that were cut off. */
    async stop(): Promise<number> {
        const { gateway, settings, server } = this;
        const startedAt = performance.now();
        gateway.isStopping = true;
        emit(EventId.NodeStopping, { inProgress: gateway.inProgress });
        await sleep(noticeMs);
        server.close();
        while (gateway.inProgress > 0 && performance.now() - startedAt < settings.graceMs - exitMarginMs) {
            await sleep(pollMs);
        }
        this.stopped.abort();
        emit(gateway.inProgress > 0 ? EventId.NodeCutOff : EventId.NodeStopped, { inProgress: gateway.inProgress });
        await sleep(pollMs * 2);
        return gateway.inProgress;
    }
}
