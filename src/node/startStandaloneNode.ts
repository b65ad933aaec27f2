import { createAdminRoutes } from "../plugins/adminRoutes";
import { createCallerRoutes } from "../plugins/callerRoutes";
import { createConfigFollower } from "../plugins/configFollower";
import { createEngines } from "../plugins/engineHttp";
import { EntryServer } from "../plugins/entryServer";
import { Metrics } from "../plugins/metrics";
import { createPeers } from "../plugins/peerClient";
import { createPeerRoute, createPeersPlugin } from "../plugins/peers";
import { createObjectStore, createTable, createVmList } from "../plugins/platformHttp";
import { createReportCollector } from "../plugins/reportCollector";
import { createServiceClient } from "../plugins/serviceHttp";
import { createStewardPlugin } from "../plugins/steward";
import { createTraceFile } from "../plugins/traceFile";
import { createVmWatcher } from "../plugins/vmWatcher";
import { createRandom } from "../utils/random";
import { StandaloneNode } from "./standaloneNode";
import type { StandaloneNodeSettings } from "./standaloneNodeSettings";

/** Starts a node with all of its parts, over HTTP. */
export const startStandaloneNode = async (cfg: StandaloneNodeSettings): Promise<StandaloneNode> => {
    const node = StandaloneNode.create(cfg, {
        table: createTable(cfg.tableUrl),
        objects: createObjectStore(cfg.objectStoreUrl),
        vmList: createVmList(cfg.vmListUrl),
        engines: createEngines(),
        random: createRandom(Date.now() ^ process.pid),
    });
    const metrics = Metrics.create();
    const server = EntryServer.create(node.context);
    const peers = createPeers(cfg);
    server.add(
        ...createCallerRoutes(node.context, createServiceClient(), metrics),
        createPeerRoute(node.context),
        ...createAdminRoutes(node.context),
        metrics.route(),
    );
    node.use(createVmWatcher(), createConfigFollower(peers), createReportCollector(), createPeersPlugin(peers), createStewardPlugin(), metrics);
    if (cfg.traceFile !== undefined) {
        node.use(createTraceFile(cfg.traceFile));
    }
    await node.start(server);
    return node;
};
