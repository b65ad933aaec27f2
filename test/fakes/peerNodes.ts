import { ControllerLease } from "../../src/core/controllerLease";
import { Gateway } from "../../src/forward/gateway";
import { Controller } from "../../src/placement/controller";
import { ControllerClient } from "../../src/placement/controllerClient";
import { ControllerLink } from "../../src/placement/controllerLink";
import { PeerServer } from "../../src/placement/peerServer";
import { decodeConfig } from "../../src/platform/configDecoder";
import { requestHeaderCodec } from "../../src/platform/requestHeaderCodec";
import type { RunnerControl } from "../../src/types/runner";
import { RunnerOrderAnswer } from "../../src/types/runner";
import { createRandom } from "../../src/utils/random";
import { repeat } from "../../src/utils/time";
import { platformTestSettings } from "./gatewayHarness";
import type { MemoryPlatformStore } from "./memoryPlatformStore";
import { reservePort } from "./ports";

/** Interval between two renewals of the lease, which expires after less than two seconds. */
export const renewIntervalMs = 300;

/** A runner that has model m loaded and accepts every order. */
const createControl = (): RunnerControl => ({
    fetchReport: () =>
        Promise.resolve({
            models: [{ name: "m", version: 1, adapters: [] }],
            inMemory: [],
            onDisk: [],
            loadingAdapters: [],
            isBusy: false,
            acceptedOrders: 0,
            queued: 0,
            active: 0,
            bornAt: 1,
        }),
    order: () => Promise.resolve(RunnerOrderAnswer.Accepted),
});

/** How a node reaches runners, and whether it records the versions that begin streams. */
interface PeerNodeOptions {
    readonly control?: RunnerControl;
    readonly recordsStreams?: boolean;
}

/** Creates a node without a caller's side: lease, controller, and the exchange with its peers. It takes part once `start` is called. */
export const createNode = async (
    store: MemoryPlatformStore,
    name: string,
    seeds: readonly string[],
    signal: AbortSignal,
    zone = "a",
    { control = createControl(), recordsStreams = false }: PeerNodeOptions = {},
) => {
    const random = createRandom(1);
    const peerAddress = `127.0.0.1:${await reservePort()}`;
    const settings = { ...platformTestSettings, nodeId: name, peerAddress, seeds, availabilityZone: zone };
    const gateway = Gateway.create(settings, requestHeaderCodec, random, recordsStreams ? store : undefined);
    const lease = ControllerLease.create(store, { holder: name, boot: name, peerAddress }, platformTestSettings, undefined, gateway.crashLog);
    const link = ControllerLink.create();
    const controller = Controller.create(gateway, lease, control);
    const peerServer = PeerServer.create(gateway, controller, link);
    const client = ControllerClient.create(gateway, lease, link, { peerServer, controller, decodeConfig, onConfig: () => undefined });
    await peerServer.listen(peerAddress);
    const start = (): void => {
        client.start(signal);
        controller.start(signal);
        void repeat(() => lease.tick(), () => renewIntervalMs, signal, () => undefined);
    };
    return { gateway, lease, link, peerServer, client, peerAddress, start };
};
