import assert from "node:assert/strict";
import { request } from "node:http";
import { after, before, describe, it } from "node:test";
import { setupLogs } from "../src/utils/events";
import { startGateway } from "./fakes/gatewayHarness";

const routeTimeoutMs = 600;
const maxAtOnceMs = 300;
const marginMs = 700;

interface SlowRequest {
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
}

/** Sends a head that announces a body, and a few bytes of it. */
const sendHead = (address: string, { path, headers }: SlowRequest): Promise<{ readonly status?: number; readonly afterMs: number; }> =>
    new Promise(resolve => {
        const startedAt = performance.now();
        const [host, port] = address.split(":");
        const all = { host: "shop.example", "attempt-id": "id-1", "content-length": "5000", ...headers };
        const req = request({ host, port, path, method: "POST", headers: all, agent: false }, res => {
            res.resume();
            resolve({ status: res.statusCode, afterMs: performance.now() - startedAt });
            req.destroy();
        });
        req.on("error", () => resolve({ afterMs: performance.now() - startedAt }));
        req.write("part");
    });

/** Guards against requests that wait for memory, or for their body, longer than their route allows or although they are certain to be refused. */
describe("a request whose body does not come", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    const cases: readonly (SlowRequest & { readonly name: string; readonly status: number; readonly maxMs: number; })[] = [
        { name: "is refused at once on an unknown path", path: "/nowhere/x", headers: { "deadline-ms": "3000" }, status: 404, maxMs: maxAtOnceMs },
        {
            name: "is refused at once with too large a head",
            path: "/desk/x",
            headers: { "deadline-ms": "3000", a: "x".repeat(6_000) },
            status: 431,
            maxMs: maxAtOnceMs,
        },
        { name: "ends with its route's timeout", path: "/desk/x", headers: { "deadline-ms": "60000" }, status: 408, maxMs: routeTimeoutMs + marginMs },
        { name: "ends with its route's timeout if it names no deadline", path: "/desk/x", headers: {}, status: 408, maxMs: routeTimeoutMs + marginMs },
    ];
    for (const { name, path, headers, status, maxMs } of cases) {
        it(name, { timeout: 15_000 }, async () => {
            const node = await startGateway([], { timeoutMs: routeTimeoutMs });
            const result = await sendHead(node.address, { path, headers });
            node.close();
            assert.equal(result.status, status);
            assert.ok(result.afterMs <= maxMs, `${Math.round(result.afterMs)} ms`);
        });
    }
});
