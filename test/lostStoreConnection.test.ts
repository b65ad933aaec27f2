import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { setupLogs } from "../src/utils/events";
import { DirectoryNetwork } from "./fakes/directoryNetwork";

/** Time in which all nodes must apply what the store acknowledged. */
const drainMs = 2_000;
const settleMs = 4_000;
/** Just long enough to fail one call of the controller. */
const lossMs = 51;
const lossIntervalMs = 400;

/**
 * Guards against a controller that takes one failed call for an outage of the store: it held removals back for two seconds, and the other nodes, to which it
 * confirmed that they were up to date, went on using upstreams that had left.
 */
describe("directory of many nodes after the controller lost a connection to the store", () => {
    let clock: ReturnType<typeof install>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => clock = install({ toFake: ["performance", "setTimeout", "clearTimeout"] }));
    afterEach(() => clock.uninstall());

    const cases = [7, 195].flatMap(nodeCount => [1, 4].flatMap(losses => [60, 300].map(removalAfterMs => ({ nodeCount, losses, removalAfterMs }))));
    for (const { nodeCount, losses, removalAfterMs } of cases) {
        it(`all nodes apply a removal ${removalAfterMs} ms after ${losses} lost connections in time (${nodeCount} nodes)`, async () => {
            const network = DirectoryNetwork.create(nodeCount);
            ["u1", "u2"].forEach(id => network.put(id, {}));
            await clock.tickAsync(settleMs);
            for (let loss = 0; loss < losses; loss++) {
                await clock.tickAsync(lossIntervalMs);
                network.store.isDown = true;
                await clock.tickAsync(lossMs);
                network.store.isDown = false;
            }
            await clock.tickAsync(removalAfterMs);
            network.put("u1", undefined);
            await clock.tickAsync(drainMs);
            const usersOf = (id: string): number =>
                network.nodes.filter(({ gateway }) => gateway.directory.readyOf("desk").some(server => server.id === id)).length;
            assert.deepEqual([usersOf("u1"), usersOf("u2")], [0, nodeCount]);
        });
    }
});
