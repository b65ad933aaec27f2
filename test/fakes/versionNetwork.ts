import { setImmediate, setTimeout } from "node:timers/promises";
import { StreamVersions } from "../../src/core/streamVersions";
import { UpstreamDirectory } from "../../src/core/upstreamDirectory";
import type { UpstreamServer } from "../../src/types/upstreamServer";
import { UpstreamState } from "../../src/types/upstreamServer";
import { createRandom } from "../../src/utils/random";
import { MemoryPlatformStore } from "./memoryPlatformStore";

export const versionService = "desk";
const lifetimeMs = 20_000;
export const softwareVersions = ["v1", "v1.1", "v1.2"] as const;

/** A node's view: its directory and what it knows of streams. */
interface NodeView {
    readonly directory: UpstreamDirectory;
    readonly streams: StreamVersions;
}

/** Nodes without a network, with one store. */
export class VersionNetwork {
    readonly store = MemoryPlatformStore.create(createRandom(1));
    nodes: NodeView[] = [];
    /** The version that began each stream. */
    readonly begun = new Map<string, string>();
    /** Directories of nodes that neither the store nor a peer reaches. */
    readonly outOfStep = new Set<UpstreamDirectory>();
    private readonly present = new Map<string, UpstreamServer>();
    private rowVersion = 0;
    private sequence = 0;

    private constructor(private readonly streamLifetimeMs: number) {}

    static create(nodeCount: number, streamLifetimeMs = lifetimeMs): VersionNetwork {
        const network = new VersionNetwork(streamLifetimeMs);
        network.store.lossShare = 0;
        network.setPresent("v1", true);
        network.nodes = [...Array(nodeCount).keys()].map(index => network.startNode(index));
        return network;
    }

    get presentVersions(): readonly string[] {
        return [...this.present.keys()];
    }

    /** Adds or removes the upstream of a software version. */
    setPresent(softwareVersion: string, isPresent: boolean): void {
        const id = `u-${softwareVersion}`;
        const server: UpstreamServer | undefined = isPresent
            ? {
                id,
                service: versionService,
                address: "127.0.0.1:1",
                availabilityZone: "a",
                softwareVersion,
                slots: 8,
                state: UpstreamState.Ready,
                models: [],
                inMemory: [],
                onDisk: [],
                bornAt: ++this.sequence,
                acceptedOrders: 0,
            }
            : undefined;
        if (server) {
            this.present.set(softwareVersion, server);
        }
        else {
            this.present.delete(softwareVersion);
        }
        this.nodes.filter(({ directory }) => !this.outOfStep.has(directory)).forEach(({ directory }) =>
            directory.apply({ id, version: ++this.rowVersion, server })
        );
    }

    /** Begins a stream at a node and a software version, if that may be. */
    async begin(node: number, softwareVersion: string): Promise<void> {
        const requestId = `r${++this.sequence}`;
        if (await this.nodes[node]!.streams.mayBegin(versionService, requestId, softwareVersion)) {
            this.nodes[node]!.streams.onBegun(versionService, requestId, softwareVersion);
            this.begun.set(requestId, softwareVersion);
        }
    }

    /** Waits until nodes have written what the present versions call for. */
    async settle(): Promise<void> {
        await setImmediate();
        await setTimeout(3);
        await Promise.all(this.nodes.map(({ streams }) => streams.flush()));
    }

    restart(node: number): void {
        this.nodes[node] = this.startNode(node);
    }

    private startNode(index: number): NodeView {
        const directory = UpstreamDirectory.create();
        const isInContact = (): boolean => !this.outOfStep.has(directory);
        const streams = StreamVersions.create(directory, `n${index}`, () => this.streamLifetimeMs, this.store, undefined, isInContact);
        this.present.forEach(server => directory.apply({ id: server.id, version: ++this.rowVersion, server }));
        return { directory, streams };
    }
}
