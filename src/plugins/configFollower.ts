import { syncConfigStore } from "../core/configFeed";
import type { ConfigSnapshot } from "../core/configStore";
import { toFailure } from "../core/failures";
import type { NodeContext, NodePlugin } from "../node/context";
import { EventId } from "../types/eventId";
import type { NodeState, ZoneState } from "../types/nodeDigest";
import { DigestName } from "../types/nodeDigest";
import { VmKind } from "../types/vm";
import { emit } from "../utils/events";
import { ownerOf } from "../utils/hash";
import { pick } from "../utils/random";
import { repeat } from "../utils/time";
import type { PeerLookup } from "./standalonePeerClient";

const snapshotName = "config-snapshot";
/** The nodes share the reads of the table: the more nodes there are, the longer each one's poll interval. This is its upper bound. */
const maxPollMs = 3_000;
const pollMsPerNode = 50;

const syncFromPeers = async (node: NodeContext, peerLookup: PeerLookup): Promise<void> => {
    const peerStates = [...node.digests.values<NodeState>(DigestName.Node), ...node.digests.values<ZoneState>(DigestName.Zone)].map(({ value }) => value);
    const ahead = peerStates.filter(state => state.configSequence > node.config.sequence);
    // A starting node has no digests yet: it queries any node on the VM list.
    const listedNodes = node.config.sequence === 0 ? node.fleet.vmsOf(VmKind.Node).filter(vm => vm.id !== node.cfg.nodeId) : [];
    const url = pick(ahead, node.random)?.url ?? pick(listedNodes, node.random)?.url;
    if (url === undefined) {
        return;
    }
    const client = peerLookup(url);
    const changes = node.config.sequence === 0 ? undefined : await client.changesSince.query(node.config.sequence);
    if (changes) {
        node.config.applyChanges(changes);
        return;
    }
    node.config.replace(await client.snapshot.query() as ConfigSnapshot);
};

const loadStoredSnapshot = async (node: NodeContext): Promise<void> => {
    const snapshot = await node.objects.get(snapshotName) as ConfigSnapshot | undefined;
    if (snapshot && node.config.replace(snapshot)) {
        emit(EventId.ConfigFromSnapshot, { sequence: snapshot.sequence });
    }
};

/** Reads the newest configuration from the table; while that fails, from a peer and, before the first configuration, from the object store. */
const syncConfig = async (node: NodeContext, peerLookup: PeerLookup): Promise<void> => {
    const before = node.config.sequence;
    try {
        await syncConfigStore(node.table, node.config);
    }
    catch (err) {
        emit(EventId.ConfigSourceFailed, { source: "table", detail: toFailure(err).detail });
        await syncFromPeers(node, peerLookup).catch((peerErr: unknown) => emit(EventId.ConfigSourceFailed, { source: "peer", detail: String(peerErr) }));
        if (node.config.sequence === 0) {
            await loadStoredSnapshot(node);
        }
    }
    if (node.config.sequence > before) {
        emit(EventId.ConfigAdvanced, { from: before, to: node.config.sequence });
    }
};

/** One node, chosen by hash, stores the snapshot from which nodes start while the table is unavailable and no peer answers. */
const createSnapshotWriter = (node: NodeContext) => {
    let storedSequence = 0;
    return async (): Promise<void> => {
        const { sequence } = node.config;
        const owner = ownerOf(snapshotName, node.fleet.vmsOf(VmKind.Node).map(vm => vm.id));
        if (sequence <= storedSequence || owner !== node.cfg.nodeId) {
            return;
        }
        await node.objects.put(snapshotName, node.config.snapshot());
        storedSequence = sequence;
    };
};

/** Keeps the node's configuration up to date. */
export const createConfigFollower = (peerLookup: PeerLookup): NodePlugin => ({
    name: "config-follower",
    start: node => {
        const pollIntervalMs = () =>
            Math.min(Math.max(node.cfg.configPollMs, node.fleet.vmsOf(VmKind.Node).length * pollMsPerNode), Math.max(node.cfg.configPollMs, maxPollMs));
        const writeSnapshot = createSnapshotWriter(node);
        void repeat(
            () => syncConfig(node, peerLookup),
            pollIntervalMs,
            node.signal,
            err => emit(EventId.ConfigSourceFailed, { source: "any", detail: String(err) }),
        );
        void repeat(writeSnapshot, pollIntervalMs, node.signal, err => emit(EventId.SnapshotFailed, { detail: toFailure(err).detail }));
    },
});
