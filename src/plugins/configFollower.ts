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
/** Nodes of a zone share the reads of the table; this bounds the pause between two reads of one node. */
const maxPollMs = 3_000;
const pollMsPerNode = 50;

const followPeers = async (node: NodeContext, peers: PeerLookup): Promise<void> => {
    const told = [...node.digests.values<NodeState>(DigestName.Node), ...node.digests.values<ZoneState>(DigestName.Zone)].map(({ value }) => value);
    const ahead = told.filter(state => state.configSequence > node.config.sequence);
    // A node that starts knows no digests yet: it asks any peer on the VM list.
    const listed = node.config.sequence === 0 ? node.fleet.vmsOf(VmKind.Node).filter(vm => vm.id !== node.cfg.nodeId) : [];
    const url = pick(ahead, node.random)?.url ?? pick(listed, node.random)?.url;
    if (url === undefined) {
        return;
    }
    const client = peers(url);
    const changes = node.config.sequence === 0 ? undefined : await client.changesSince.query(node.config.sequence);
    if (changes) {
        node.config.applyChanges(changes);
        return;
    }
    node.config.replace(await client.snapshot.query() as ConfigSnapshot);
};

const readStoredSnapshot = async (node: NodeContext): Promise<void> => {
    const snapshot = await node.objects.get(snapshotName) as ConfigSnapshot | undefined;
    if (snapshot && node.config.replace(snapshot)) {
        emit(EventId.ConfigFromSnapshot, { sequence: snapshot.sequence });
    }
};

/** Takes the newest configuration from the table; while that fails, from peers, and at the start from the object store. */
const follow = async (node: NodeContext, peers: PeerLookup): Promise<void> => {
    const before = node.config.sequence;
    try {
        await syncConfigStore(node.table, node.config);
    }
    catch (err) {
        emit(EventId.ConfigSourceFailed, { source: "table", detail: toFailure(err).detail });
        await followPeers(node, peers).catch((peerErr: unknown) => emit(EventId.ConfigSourceFailed, { source: "peer", detail: String(peerErr) }));
        if (node.config.sequence === 0) {
            await readStoredSnapshot(node);
        }
    }
    if (node.config.sequence > before) {
        emit(EventId.ConfigAdvanced, { from: before, to: node.config.sequence });
    }
};

/** One node, found by hash, stores the snapshot from which nodes start while the table is out and no peer answers. */
const createSnapshotWriter = (node: NodeContext) => {
    let stored = 0;
    return async (): Promise<void> => {
        const { sequence } = node.config;
        const owner = ownerOf(snapshotName, node.fleet.vmsOf(VmKind.Node).map(vm => vm.id));
        if (sequence <= stored || owner !== node.cfg.nodeId) {
            return;
        }
        await node.objects.put(snapshotName, node.config.snapshot());
        stored = sequence;
    };
};

/** Keeps the configuration in force up to date. */
export const createConfigFollower = (peers: PeerLookup): NodePlugin => ({
    name: "config-follower",
    start: node => {
        const pauseMs = () =>
            Math.min(Math.max(node.cfg.configPollMs, node.fleet.vmsOf(VmKind.Node).length * pollMsPerNode), Math.max(node.cfg.configPollMs, maxPollMs));
        const writeSnapshot = createSnapshotWriter(node);
        void repeat(() => follow(node, peers), pauseMs, node.signal, err => emit(EventId.ConfigSourceFailed, { source: "any", detail: String(err) }));
        void repeat(writeSnapshot, pauseMs, node.signal, err => emit(EventId.SnapshotFailed, { detail: toFailure(err).detail }));
    },
});
