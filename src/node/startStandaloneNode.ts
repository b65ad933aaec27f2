import { createAdminRoutes } from "../plugins/adminRoutes";
import { createCallerRoutes } from "../plugins/callerRoutes";
import { createConfigFollower } from "../plugins/configFollower";
import { createDigestExchange, createPeerRoute } from "../plugins/digestExchange";
import { createEngineLookup } from "../plugins/httpEngines";
import { createServiceClient } from "../plugins/httpServiceClient";
import { createObjectStoreClient, createTableClient, createVmListClient } from "../plugins/infrastructureClients";
import { Metrics } from "../plugins/metrics";
import { createReportCollector } from "../plugins/reportCollector";
import { StandaloneNodeServer } from "../plugins/standaloneNodeServer";
import { createPeerLookup } from "../plugins/standalonePeerClient";
import { createTraceFile } from "../plugins/traceFile";
import { createVmWatcher } from "../plugins/vmWatcher";
import { createZoneControllerPlugin } from "../plugins/zoneControllerPlugin";
import { createRandom } from "../utils/random";
import { StandaloneNode } from "./standaloneNode";
import type { StandaloneNodeSettings } from "./standaloneNodeSettings";

/** Creates a standalone node with all of its components and HTTP clients, and the server to start it with. */
export const createStandaloneNode = (cfg: StandaloneNodeSettings): readonly [StandaloneNode, StandaloneNodeServer] => {
    const node = StandaloneNode.create(cfg, {
        table: createTableClient(cfg.tableUrl),
        objects: createObjectStoreClient(cfg.objectStoreUrl),
        vmList: createVmListClient(cfg.vmListUrl),
        engines: createEngineLookup(),
        random: createRandom(Date.now() ^ process.pid),
    });
    const metrics = Metrics.create();
    const server = StandaloneNodeServer.create(node.context);
    const peers = createPeerLookup(cfg);
    server.addRoutes(
        ...createCallerRoutes(node.context, createServiceClient(), metrics),
        createPeerRoute(node.context),
        ...createAdminRoutes(node.context),
        metrics.route(),
    );
    node.use(createVmWatcher(), createConfigFollower(peers), createReportCollector(), createDigestExchange(peers), createZoneControllerPlugin(), metrics);
    if (cfg.traceFile !== undefined) {
        node.use(createTraceFile(cfg.traceFile));
    }
    return [node, server];
};

/** Starts a standalone node with all of its components and HTTP clients. */
export const startStandaloneNode = async (cfg: StandaloneNodeSettings): Promise<StandaloneNode> => {
    const [node, server] = createStandaloneNode(cfg);
    await node.start(server);
    return node;
};
