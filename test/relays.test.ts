import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { relaysFor, relaysOf } from "../src/core/relays";
import { PeerDirectory } from "../src/placement/peerDirectory";
import type { PeerNode } from "../src/types/peerNode";
import { createRandom } from "../src/utils/random";

const createPeers = (count: number, zones: number): readonly PeerNode[] =>
    [...Array(count).keys()].map(index => ({ address: `10.0.${index % zones}.${index}:1`, zone: `z${index % zones}`, cores: index % 5 === 0 ? 1.35 : 0.324 }));

describe("relays", () => {
    const cases: readonly { readonly nodes: number; readonly zones: number; readonly maxReporters: number; readonly maxMembers: number; }[] = [
        { nodes: 7, zones: 4, maxReporters: 7, maxMembers: 0 },
        { nodes: 24, zones: 4, maxReporters: 24, maxMembers: 0 },
        { nodes: 58, zones: 4, maxReporters: 8, maxMembers: 16 },
        { nodes: 195, zones: 6, maxReporters: 18, maxMembers: 24 },
        { nodes: 400, zones: 5, maxReporters: 25, maxMembers: 30 },
    ];
    for (const { nodes, zones, maxReporters, maxMembers } of cases) {
        it(`bound the reports to the controller and to each relay (${nodes} nodes)`, () => {
            const peers = createPeers(nodes, zones);
            const members = new Map<string, number>();
            const relays = peers.map(peer => relaysFor(peer, peers)[0]);
            relays.forEach(relay => relay !== undefined && members.set(relay, (members.get(relay) ?? 0) + 1));
            assert.ok(relays.filter(relay => relay === undefined).length <= maxReporters);
            assert.ok(Math.max(0, ...members.values()) <= maxMembers, `${Math.max(...members.values())} members`);
        });
    }

    it("are the largest nodes of the zone", () => {
        const peers = createPeers(100, 4);
        const relays = relaysOf("z0", peers);
        assert.ok(relays.length > 0);
        assert.ok(peers.filter(({ address }) => relays.includes(address)).every(({ cores, zone }) => cores === 1.35 && zone === "z0"));
    });

    it("are replaced by another one while they do not answer, and by the controller if none does", () => {
        const peers = createPeers(100, 4);
        const self = peers.find(peer => relaysFor(peer, peers).length > 0)!;
        const directory = PeerDirectory.create(() => self, () => [], createRandom(1));
        directory.setPeers(peers);
        const first = directory.relayFor(undefined)!;
        directory.onFailed(first);
        const second = directory.relayFor(undefined)!;
        assert.notEqual(second, first);
        directory.onFailed(second);
        assert.equal(directory.relayFor(undefined), undefined);
    });
});
