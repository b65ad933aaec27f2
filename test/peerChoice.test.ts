import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PeerChoice } from "../src/core/peerChoice";
import type { PeerNode } from "../src/types/peerNode";
import { createRandom } from "../src/utils/random";

const avoidedMs = 1_000;
const zoneNames = ["a", "b", "c", "d", "e"];

const peersOf = (count: number, zones: number): readonly PeerNode[] =>
    [...Array(count).keys()].map(index => ({ address: `10.0.${index >> 8}.${(index & 255) + 1}:7000`, zone: zoneNames[index % zones]!, cores: 1 }));

const create = (peers: readonly PeerNode[]) => {
    const clock = { nowMs: 0, draws: 0 };
    const random = createRandom(7);
    const choice = PeerChoice.create({
        ownAddress: () => peers[0]!.address,
        ownZone: () => "a",
        random: () => {
            clock.draws++;
            return random();
        },
        now: () => clock.nowMs,
    });
    choice.setPeers(peers);
    return { choice, clock };
};

/** A fleet of which some zones, or all but some nodes, are cut off from the upstreams. */
interface FleetCase {
    readonly nodes: number;
    readonly zones: number;
    readonly cutZones: readonly string[];
    /** Requests of one node in 12 s, one every 50 ms. */
    readonly requests: number;
    /** Bound on the peers that are asked in vain, over all requests. */
    readonly maxAskedInVain: number;
}

const fleetCases: readonly FleetCase[] = [
    { nodes: 2, zones: 1, cutZones: [], requests: 240, maxAskedInVain: 0 },
    { nodes: 7, zones: 3, cutZones: ["a"], requests: 240, maxAskedInVain: 40 },
    { nodes: 195, zones: 3, cutZones: ["a"], requests: 240, maxAskedInVain: 40 },
    { nodes: 400, zones: 5, cutZones: ["a"], requests: 240, maxAskedInVain: 40 },
    { nodes: 400, zones: 5, cutZones: ["a", "c", "d"], requests: 240, maxAskedInVain: 120 },
];

const maxPeers = 5;
const requestGapMs = 50;

/** Plays requests that ask up to a number of peers each; returns how often each peer took one, the peers asked in vain and the requests without a peer. */
const play = ({ nodes, zones, cutZones, requests }: FleetCase) => {
    const peers = peersOf(nodes, zones);
    const { choice, clock } = create(peers);
    const zoneOf = new Map(peers.map(({ address, zone }) => [address, zone]));
    const taken = new Map<string, number>();
    let askedInVain = 0;
    let unserved = 0;
    for (let request = 0; request < requests; request++) {
        clock.nowMs += requestGapMs;
        const asked = new Set<string>();
        let isServed = false;
        while (!isServed && asked.size < maxPeers) {
            const peer = choice.choose(asked);
            if (peer === undefined) {
                break;
            }
            isServed = !cutZones.includes(zoneOf.get(peer)!);
            if (isServed) {
                choice.onTaken(peer);
                taken.set(peer, (taken.get(peer) ?? 0) + 1);
            }
            else {
                asked.add(peer);
                askedInVain++;
                choice.onUntaken(peer, avoidedMs);
            }
        }
        unserved += isServed ? 0 : 1;
    }
    return { taken, askedInVain, unserved };
};

describe("the choice of a peer", () => {
    for (const fleetCase of fleetCases) {
        const { nodes, cutZones, requests, maxAskedInVain } = fleetCase;
        it(`finds one for each request at ${nodes} nodes with ${cutZones.length} zones cut`, () => {
            const { taken, askedInVain, unserved } = play(fleetCase);
            assert.equal(unserved, 0);
            assert.ok(askedInVain <= maxAskedInVain, `${askedInVain} asked in vain`);
            const sound = peersOf(nodes, fleetCase.zones).slice(1).filter(({ zone }) => !cutZones.includes(zone)).length;
            const fairShare = requests / sound;
            assert.ok(Math.max(...taken.values()) <= 3 * fairShare + 6, `${Math.max(...taken.values())} at one peer, ${fairShare} on average`);
        });
    }

    it("stays in the own availability zone while its peers take requests", () => {
        const { choice } = create(peersOf(60, 3));
        const inZone = new Set(peersOf(60, 3).filter(({ zone }) => zone === "a").map(({ address }) => address));
        for (let count = 0; count < 100; count++) {
            const peer = choice.choose(new Set())!;
            assert.ok(inZone.has(peer));
            choice.onTaken(peer);
        }
    });

    it("costs the same however many nodes there are", () => {
        const drawsAt = (nodes: number): number => {
            const { choice, clock } = create(peersOf(nodes, 5));
            choice.choose(new Set());
            return clock.draws;
        };
        assert.equal(drawsAt(400), drawsAt(195));
    });

    it("prefers the less busy one of two", () => {
        const peers = peersOf(3, 1);
        const { choice } = create(peers);
        for (let count = 0; count < 50; count++) {
            choice.onBegin(peers[1]!.address);
        }
        const chosen = [...Array(100).keys()].filter(() => choice.choose(new Set()) === peers[1]!.address).length;
        assert.ok(chosen < 50, `${chosen} of 100 at the busy one`);
    });

    it("asks a peer again once its time is over, and none meanwhile if there is no other", () => {
        const peers = peersOf(2, 1);
        const { choice, clock } = create(peers);
        choice.onUntaken(peers[1]!.address, avoidedMs);
        assert.equal(choice.choose(new Set()), undefined);
        clock.nowMs += avoidedMs;
        assert.equal(choice.choose(new Set()), peers[1]!.address);
    });

    // Guards against requests that are refused although a peer takes them, as one failure made the node avoid it.
    it("offers a request to the peer that took one last if all are avoided, and to two of these at most", () => {
        const [, sound, cut] = peersOf(3, 1).map(({ address }) => address);
        const { choice } = create(peersOf(3, 1));
        choice.onTaken(sound!);
        [sound, cut].forEach(address => choice.onUntaken(address!, avoidedMs));
        assert.equal(choice.chooseForRequest(new Set()), sound);
        assert.equal(choice.chooseForRequest(new Set([sound!])), cut);
        assert.equal(choice.chooseForRequest(new Set([sound!, cut!])), undefined);
        assert.equal(choice.choose(new Set()), undefined);
    });

    it("never chooses the node itself, nor one that was asked", () => {
        const peers = peersOf(3, 1);
        const { choice } = create(peers);
        for (let count = 0; count < 50; count++) {
            assert.equal(choice.choose(new Set([peers[1]!.address])), peers[2]!.address);
        }
        assert.equal(choice.choose(new Set([peers[1]!.address, peers[2]!.address])), undefined);
    });

    // Guards against a new controller that knows no peers yet, and so refuses what they pass on.
    it("knows peers that are no longer listed for a while, and not for ever", () => {
        const peers = peersOf(3, 1);
        const { choice, clock } = create(peers);
        choice.setPeers([peers[0]!]);
        assert.equal(choice.isKnownHost("10.0.0.2"), true);
        assert.ok(choice.choose(new Set()));
        clock.nowMs += 20_000;
        choice.setPeers([peers[0]!]);
        assert.equal(choice.isKnownHost("10.0.0.2"), false);
        assert.equal(choice.choose(new Set()), undefined);
    });

    it("knows the hosts of its peers and no others", () => {
        const { choice } = create(peersOf(3, 1));
        assert.equal(choice.isKnownHost("10.0.0.2"), true);
        assert.equal(choice.isKnownHost("10.0.0.9"), false);
        assert.equal(choice.isKnownHost(""), false);
    });
});
