import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { setupLogs } from "../src/utils/events";
import type { FleetTerms } from "./fakes/brittleFleet";
import { BrittleFleet, wordAtMs } from "./fakes/brittleFleet";

const contactMs = 3_000;
const brittleMs = 6_000;

describe("a fleet whose upstreams turn brittle", () => {
    let clock: ReturnType<typeof install>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => clock = install({ toFake: ["performance", "setTimeout", "clearTimeout"] }));
    afterEach(() => clock.uninstall());

    interface Case extends FleetTerms {
        readonly name: string;
        readonly minServedShare: number;
    }
    const usual = { serverCount: 5, slots: 8, maxRejectionsPerS: 8, load: 1.4, serviceMs: 200, minServedShare: 0.8 };
    const cases: readonly Case[] = [
        { name: "6 nodes", ...usual, nodeCount: 6 },
        { name: "30 nodes", ...usual, nodeCount: 30, serverCount: 10 },
        { name: "195 nodes", ...usual, nodeCount: 195, serverCount: 20 },
        { name: "few requests for each node", ...usual, nodeCount: 195, serverCount: 3, slots: 4, maxRejectionsPerS: 3 },
        { name: "short requests", ...usual, nodeCount: 30, serverCount: 2, serviceMs: 40, minServedShare: 0.7 },
        { name: "an upstream that bears no rejection", ...usual, nodeCount: 30, maxRejectionsPerS: 0 },
        { name: "long requests from before the word", ...usual, nodeCount: 30, longRequests: 0.1, minServedShare: 0.4 },
        { name: "nodes that reach no other", ...usual, nodeCount: 30, cutOff: 5, minServedShare: 0.6 },
        { name: "upstreams that end and come back", ...usual, nodeCount: 30, serversEndAtMs: 4_000, minServedShare: 0.6 },
        { name: "pacers that end", ...usual, nodeCount: 30, pacerEndsAtMs: 5_000, minServedShare: 0.6 },
    ];

    const play = async (terms: FleetTerms): Promise<BrittleFleet> => {
        const fleet = BrittleFleet.create(terms);
        fleet.start();
        await clock.tickAsync(wordAtMs + contactMs + brittleMs);
        return fleet;
    };

    for (const { name, minServedShare, ...terms } of cases) {
        it(`makes none of them fall, and uses them: ${name}`, async () => {
            const fleet = await play(terms);
            const { falls, served, sent, rejected } = fleet;
            const most = Math.max(...fleet.servers.map(({ mostRejections }) => mostRejections));
            const servedShare = served * Math.max(1, terms.load) / sent;
            if (process.env["SHOW"]) {
                process.stderr.write(`${name}: falls ${falls}, most ${most}, rejected ${rejected}, served share ${servedShare.toFixed(2)} sent ${sent}\n`);
            }
            assert.equal(falls, 0, `${falls} falls, ${most} rejections in a second`);
            assert.ok(servedShare >= minServedShare, `${servedShare}`);
        });
    }

    it("would make them fall without places", async () => {
        const { falls } = await play({ ...usual, nodeCount: 30, serverCount: 10, asks: false });
        assert.ok(falls > 3, `${falls} falls`);
    });
});
