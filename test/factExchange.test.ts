import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { setupLogs } from "../src/utils/events";
import { FactNetwork } from "./fakes/factNetwork";

/** Time in which all nodes must know what crashes runners, from the fifth crash on. */
const contactMs = 3_000;
const crashGapMs = 200;
const toleratedCrashes = 5;

describe("facts that nodes share", () => {
    let clock: ReturnType<typeof install>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => clock = install({ toFake: ["performance", "setTimeout"] }));
    afterEach(() => clock.uninstall());

    /** Each of the crashes is seen by another node only. */
    const crashRunners = (network: FactNetwork, onCrash: (index: number) => void = () => undefined): void => {
        for (let index = 0; index < toleratedCrashes; index++) {
            const node = network.nodes.at(-1 - 7 * index % network.nodes.length)!;
            node.crashLog.add({ id: `r${index}`, ageMs: 0, suspects: [["bad", `s${index}`]], cleared: [] });
            onCrash(index);
            clock.tick(index < toleratedCrashes - 1 ? crashGapMs : 0);
        }
    };

    interface Case {
        readonly name: string;
        readonly nodeCount: number;
        readonly onCrash?: (network: FactNetwork, index: number) => void;
        readonly contactAfterMs?: number;
    }

    const cases: readonly Case[] = [
        { name: "7 nodes", nodeCount: 7 },
        { name: "195 nodes, through relays", nodeCount: 195 },
        {
            name: "7 nodes whose controller is lost after the second crash",
            nodeCount: 7,
            onCrash: (network, index) => {
                if (index === 1) {
                    network.hasController = false;
                    network.nodes[0]!.isReachable = false;
                    setTimeout(() => network.restart(network.nodes[0]!), 1_000);
                    setTimeout(() => {
                        network.nodes[0]!.isReachable = true;
                        network.hasController = true;
                    }, 2_000);
                }
            },
        },
        {
            name: "195 nodes without a controller",
            nodeCount: 195,
            onCrash: (network, index) => {
                if (index === 1) {
                    network.hasController = false;
                    network.nodes[0]!.isReachable = false;
                    setTimeout(() => {
                        network.nodes[0]!.isReachable = true;
                        network.hasController = true;
                    }, 2_000);
                }
            },
        },
        {
            name: "a node that restarts after the fifth crash",
            nodeCount: 195,
            onCrash: (network, index) => {
                if (index === toleratedCrashes - 1) {
                    setTimeout(() => network.restart(network.nodes[100]!), 1_500);
                }
            },
            contactAfterMs: 1_500,
        },
        {
            name: "a node that was cut off meanwhile",
            nodeCount: 195,
            onCrash: (network, index) => {
                if (index === 0) {
                    network.nodes[50]!.isReachable = false;
                    setTimeout(() => network.nodes[50]!.isReachable = true, 5_000);
                }
            },
            contactAfterMs: 5_000,
        },
    ];

    for (const { name, nodeCount, onCrash, contactAfterMs = 0 } of cases) {
        it(`reach all within contactMs: ${name}`, () => {
            const network = FactNetwork.create(nodeCount);
            clock.tick(2_000);
            crashRunners(network, index => onCrash?.(network, index));
            clock.tick(contactAfterMs + contactMs);
            assert.equal(network.unaware("bad"), 0);
        });
    }

    for (const nodeCount of [7, 195]) {
        it(`reach all within contactMs of the third crash under one request (${nodeCount} nodes)`, () => {
            const network = FactNetwork.create(nodeCount);
            clock.tick(2_000);
            for (let index = 0; index < 3; index++) {
                network.nodes.at(-1 - 5 * index % nodeCount)!.crashLog.add({ id: `r${index}`, ageMs: 0, suspects: [["request:x"]], cleared: [] });
                clock.tick(index < 2 ? crashGapMs : contactMs);
            }
            assert.equal(network.unaware("request:x"), 0);
        });
    }

    it("reach all within contactMs when another node's answer clears a part", () => {
        const network = FactNetwork.create(195);
        clock.tick(2_000);
        crashRunners(network);
        clock.tick(contactMs);
        assert.equal(network.unaware("bad"), 0);
        network.nodes[33]!.crashLog.onAnswered(["bad"], performance.now());
        clock.tick(contactMs);
        assert.equal(network.unaware("bad"), 195);
    });

    it("are sent once: reports are empty again when all nodes know them", () => {
        const network = FactNetwork.create(40);
        clock.tick(2_000);
        crashRunners(network);
        clock.tick(contactMs);
        const sizes = network.nodes.slice(1).map(({ exchange }) => exchange.prepare(exchange.uplinkAddress!).report.facts.crashes.length);
        assert.deepEqual(sizes.filter(size => size > 0), []);
    });
});
