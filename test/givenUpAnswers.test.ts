import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { defaultTransportLimits } from "../src/node/transportLimitSettings";
import { RunnerClient } from "../src/platform/runnerClient";
import { RunnerOrderAnswer, RunnerOrderKind } from "../src/types/runner";
import { setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import { endlessBodies } from "./fakes/endlessBodies";
import { startTroubledServer } from "./fakes/troubledServer";

before(() => setupLogs("silent"));
after(() => setupLogs("info"));

const rounds = 10;
const ordersAtOnce = 24;
/** Time in which a connection that was reset has been closed. */
const closeMs = 100;
const order = { kind: RunnerOrderKind.Load, model: "m", adapter: undefined, expectedAcceptedOrders: 0, holder: "n1", epoch: 1 };

/** Guards against an error that nobody catches when the HTTP client takes the reset of its connection for the end of an answer without a length. */
describe("the rest of an answer to an order", () => {
    it("is given up without an uncaught error if it has no length", async () => {
        const server = await startTroubledServer(endlessBodies["no length"]!);
        const uncaught: unknown[] = [];
        const onUncaught = (err: unknown): void => void uncaught.push(err);
        process.prependListener("uncaughtException", onUncaught);
        try {
            for (let round = 0; round < rounds; round++) {
                const client = RunnerClient.create(defaultTransportLimits);
                const answers = await Promise.all(
                    [...Array(ordersAtOnce).keys()].map(() => client.order({ id: "u1", address: server.address, bornAt: 1 }, order)),
                );
                assert.deepEqual([...new Set(answers)], [RunnerOrderAnswer.Done]);
            }
            await sleep(closeMs);
            assert.deepEqual(uncaught, []);
        }
        finally {
            process.removeListener("uncaughtException", onUncaught);
            server.close();
        }
    });
});
