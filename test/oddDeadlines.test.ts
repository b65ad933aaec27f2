import assert from "node:assert/strict";
import { request } from "node:http";
import { after, before, describe, it } from "node:test";
import { setupLogs } from "../src/utils/events";
import { startGateway } from "./fakes/gatewayHarness";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";
import { answer } from "./fakes/upstreamScripts";

/** Guards against refusals of sound requests whose deadline is longer than a timer can wait, or no number. */
describe("a request with the deadline", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    const cases = [
        { deadline: "2147483648", status: 200 },
        { deadline: "1e300", status: 200 },
        { deadline: "", status: 200 },
        { deadline: "soon", status: 200 },
        { deadline: "1e999", status: 200 },
        { deadline: "-1e300", status: 408 },
    ];
    for (const { deadline, status } of cases) {
        it(`"${deadline}" is answered with ${status} if its body arrives within 50 ms`, async () => {
            const upstream = await startScriptedUpstream(answer);
            const node = await startGateway([upstream.address]);
            const [host, port] = node.address.split(":");
            const answered = await new Promise<number | undefined>((resolve, reject) => {
                const headers = { host: "shop.example", "attempt-id": "id-1", "deadline-ms": deadline };
                const req = request({ host, port, method: "POST", path: "/desk/x", headers, agent: false }, res => {
                    res.resume();
                    resolve(res.statusCode);
                });
                req.on("error", reject);
                req.write("a");
                setTimeout(() => req.end("b"), 50);
            });
            node.close();
            upstream.close();
            assert.equal(answered, status);
        });
    }
});
