import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { setupLogs } from "../src/utils/events";
import { DirectoryNetwork } from "./fakes/directoryNetwork";

/** Time in which all nodes must apply what the store acknowledged. */
const drainMs = 2_000;
const settleMs = 4_000;
/** Longer than the upstream goes on serving after its row was removed. */
const lingerMs = 10_000;

/**
 * Guards against a restarted node that takes a peer's whole directory, from before a removal, for newer than its own read of the store: it brought the removed
 * upstream back, and as the controller handed it to all other nodes.
 */
describe("directory of many nodes after a restart of the controller", () => {
    let clock: ReturnType<typeof install>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => clock = install({ toFake: ["performance", "setTimeout", "clearTimeout"] }));
    afterEach(() => clock.uninstall());

    const cases = [2, 7, 195].flatMap(nodeCount => [30, 200, 1_000].map(downMs => ({ nodeCount, downMs })));
    for (const { nodeCount, downMs } of cases) {
        it(`no node uses an upstream that was removed while the controller was down for ${downMs} ms (${nodeCount} nodes)`, async () => {
            const network = DirectoryNetwork.create(nodeCount);
            const [controller] = network.nodes;
            ["u1", "u2", "u3"].forEach(id => network.put(id, {}));
            await clock.tickAsync(settleMs);
            network.hasController = false;
            network.kill(controller!);
            network.put("u1", undefined);
            const usersOf = (id: string): number =>
                network.nodes.filter(({ gateway }) => gateway.directory.readyOf("desk").some(server => server.id === id)).length;
            await clock.tickAsync(downMs);
            network.restart(controller!);
            network.hasController = true;
            await clock.tickAsync(drainMs - downMs);
            for (let passedMs = drainMs; passedMs < lingerMs; passedMs += 100) {
                assert.equal(usersOf("u1"), 0, `nodes that use the removed upstream ${passedMs} ms after its removal`);
                await clock.tickAsync(100);
            }
            assert.equal(usersOf("u2"), nodeCount);
        });
    }
});
