import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { connect, createServer } from "node:net";
import { after, before, describe, it } from "node:test";
import { defaultTransportLimits } from "../src/node/transportLimitSettings";
import { PeerClients } from "../src/placement/peerClients";
import { RunnerClient } from "../src/platform/runnerClient";
import { StoreClient } from "../src/platform/storeClient";
import { askUpstream } from "../src/platform/upstreamQuestion";
import { setupLogs } from "../src/utils/events";
import { createRandom } from "../src/utils/random";
import { sleep } from "../src/utils/time";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import { portOf } from "./fakes/jsonServer";
import { keepAliveSeconds } from "./fakes/keepAliveTimer";
import { MemoryPlatformStore } from "./fakes/memoryPlatformStore";
import { createNode } from "./fakes/peerNodes";

/** Time in which a connection is open, and what was sent over it has been acknowledged: the kernel has one timer for both. */
const openMs = 250;
/** What undici sets for its connections. */
const clientDelayS = 60;
const marginS = 2;
/** A peer that is silent for longer has been given up by a timer of the node. */
const shortSilenceMs = 2_000;

/** A server that accepts connections and stays silent. */
const startSilentServer = async () => {
    const sockets: Socket[] = [];
    const server = createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined).resume();
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    const close = (): void => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    };
    return { port: portOf(server as never), sockets, close };
};

/** Guards against a library that begins to set other keep-alive probes, which decide when a silent peer is given up. */
describe("keep-alive probes", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    interface ClientCase {
        readonly name: string;
        readonly call: (address: string) => Promise<unknown>;
        readonly delayS: number | undefined;
    }
    const upstream = { id: "u", bornAt: 1 };
    const clientCases: readonly ClientCase[] = [
        {
            name: "to an upstream with a request",
            call: async address => {
                const node = await startGateway([address]);
                await callGateway(node.address, { abortAfterMs: 2 * openMs });
                node.close();
            },
            delayS: clientDelayS,
        },
        {
            name: "to an upstream that is probed",
            call: address => askUpstream({ ...upstream, address } as never, { healthPath: "/h" } as never, AbortSignal.timeout(2 * openMs), () => undefined),
            delayS: undefined,
        },
        {
            name: "to a runner for its report",
            call: address => RunnerClient.create(defaultTransportLimits).fetchReport({ ...upstream, address }),
            delayS: clientDelayS,
        },
        {
            name: "to a peer",
            call: address => PeerClients.create(1_000).get(address).permit.mutate({} as never),
            delayS: clientDelayS,
        },
        { name: "to the store", call: address => StoreClient.create(address, defaultTransportLimits).readTable("servers"), delayS: clientDelayS },
    ];
    for (const { name, call, delayS } of clientCases) {
        it(`begin after ${delayS === undefined ? "no time, as there are none" : `${delayS} s`} on a connection ${name}`, async () => {
            const server = await startSilentServer();
            const startedAt = performance.now();
            const ended = call(`127.0.0.1:${server.port}`).catch(() => undefined);
            await sleep(openMs);
            const seconds = keepAliveSeconds(server.sockets[0]!.remotePort!, server.port);
            assert.ok(delayS === undefined ? seconds === undefined : seconds! <= delayS && seconds! > delayS - marginS, `${seconds} s`);
            await ended;
            assert.ok(performance.now() - startedAt < shortSilenceMs, "waits for a silent peer");
            server.close();
        });
    }

    interface ServerCase {
        readonly name: string;
        readonly start: () => Promise<{ readonly address: string; readonly close: () => void; }>;
    }
    const serverCases: readonly ServerCase[] = [
        { name: "a caller", start: () => startGateway([]) },
        {
            name: "a peer",
            start: async () => {
                const { peerAddress, peerServer } = await createNode(MemoryPlatformStore.create(createRandom(1)), "n", [], AbortSignal.abort());
                return { address: peerAddress, close: () => peerServer.close() };
            },
        },
    ];
    for (const { name, start } of serverCases) {
        it(`are not sent to ${name}: its silence is bounded by timeouts`, async () => {
            const { address, close } = await start();
            const port = Number(address.split(":")[1]);
            const socket = connect(port, "127.0.0.1").on("error", () => undefined);
            socket.write("GET / HTTP/1.1\r\n");
            await sleep(openMs);
            assert.equal(keepAliveSeconds(port, socket.localPort!), undefined);
            socket.destroy();
            close();
        });
    }
});
