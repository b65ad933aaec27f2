import type { Server } from "node:http";
import { startBalancer } from "./balancer";
import { startDiscardingCallers } from "./discardingCallers";
import { startEngineServer } from "./engineServer";
import { startFloodingCallers } from "./floodingCallers";
import { portOf } from "./jsonServer";
import { startPieceServer } from "./pieceServer";
import { startService } from "./service";
import { startStandaloneInfrastructure } from "./standaloneInfrastructure";
import { startWeightStore } from "./weightStore";

/** Stand-ins by kind; `platform` is the infrastructure of standalone nodes. `main KIND PORT JSON-SETUP` starts one and prints its port on one line. */
const starters: Readonly<Record<string, (port: number, setup: never) => Promise<Server>>> = {
    platform: startStandaloneInfrastructure,
    engine: startEngineServer,
    service: startService,
    weightStore: (port, { fetchesPerSecond }: { fetchesPerSecond: number; }) => startWeightStore(port, fetchesPerSecond),
    pieceServer: startPieceServer,
    floodingCallers: startFloodingCallers,
    discardingCallers: startDiscardingCallers,
    balancer: (port, { nodeUrls }: { nodeUrls: readonly string[]; }) => startBalancer(port, nodeUrls),
};

const [kind, port, setup] = process.argv.slice(2);
void starters[kind ?? ""]!(Number(port), JSON.parse(setup ?? "{}") as never).then(server => process.stdout.write(`${portOf(server)}\n`));
