import assert from "node:assert/strict";
import type { Server } from "node:http";
import { createServer } from "node:http";
import { after, before, describe, it } from "node:test";
import { Gateway } from "../src/forward/gateway";
import { createDirectoryObserver } from "../src/forward/storeObservers";
import { decodeServer } from "../src/platform/directoryDecoder";
import { requestHeaderCodec } from "../src/platform/requestHeaderCodec";
import { EventId } from "../src/types/eventId";
import type { StoredRow } from "../src/types/rowStore";
import { UpstreamFault } from "../src/types/upstreamFault";
import { observeEvents, setupLogs } from "../src/utils/events";
import { createRandom } from "../src/utils/random";
import { callGateway, platformTestSettings } from "./fakes/gatewayHarness";
import { portOf } from "./fakes/jsonServer";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";

const sound = { service: "a", addr: "127.0.0.1:1", zone: "a", slots: 64, state: "ready", born: 1 };
const textOf = (fields: object): string => JSON.stringify({ ...sound, ...fields });
const deep = (depth: number): string => `${"[".repeat(depth)}${"]".repeat(depth)}`;

interface OddRow {
    readonly name: string;
    readonly key?: string;
    readonly text: string;
    readonly reason: UpstreamFault;
}

const oddRows: readonly OddRow[] = [
    ...[
        "127.0.0.1:65536",
        "127.0.0.1:99999",
        "127.0.0.1:0",
        "127.0.0.1:7000000000000000000000",
        "%zz:80",
        "a/b?c#d@e:80",
        "127.0.0.1:80\u0000",
        "\ud800:80",
        "999.999.999.999:80",
        "255.255.255.255:80",
        "0.0.0.0:80",
        "somewhere:80",
    ].map(addr => ({ name: `the address ${JSON.stringify(addr)}`, text: textOf({ addr }), reason: UpstreamFault.Address })),
    { name: "a number too large", text: textOf({ slots: 7 }).replace(":7", ":1e999"), reason: UpstreamFault.Form },
    { name: "a count too large", text: textOf({ seq: 1e300 }), reason: UpstreamFault.Number },
    { name: "no slots", text: textOf({ slots: 0 }), reason: UpstreamFault.Number },
    { name: "a service without a name", text: textOf({ service: "" }), reason: UpstreamFault.Length },
    { name: "a deep list", text: deep(20_000), reason: UpstreamFault.Form },
    { name: "a deep list among its models", text: textOf({ models: 7 }).replace(":7", `:[${deep(20_000)}]`), reason: UpstreamFault.Form },
    { name: "no JSON", text: "\u0000{", reason: UpstreamFault.Form },
    { name: "a key that every object has", key: "constructor", text: textOf({}), reason: UpstreamFault.Id },
    { name: "a key that no header can carry", key: "a\r\nb", text: textOf({}), reason: UpstreamFault.Id },
];

/** Guards against requests without an answer, and against a directory that is no longer followed. */
describe("an odd row among those of the runners", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    const rowOf = (key: string, text: string, version: number): StoredRow => ({ table: "servers", part: "", key, value: Buffer.from(text), version });
    for (const { name, key = "u1", text, reason } of oddRows) {
        it(`with ${name} takes the place of the sound one with its reason`, () => {
            const reasons: unknown[] = [];
            const stopObserving = observeEvents((event, fields) => event === EventId.UpstreamRowIgnored && reasons.push(fields.reason));
            const gateway = Gateway.create(platformTestSettings, requestHeaderCodec, createRandom(1));
            const observer = createDirectoryObserver(gateway, decodeServer);
            observer.onSnapshot([rowOf("u1", textOf({}), 1), rowOf("u2", textOf({}), 2)], 2, 0);
            // After an outage of the store, rows that are missing are kept for a while; this one is not missing.
            observer.onChanges([rowOf(key, text, 3), rowOf(key, text, 4)], 4, 5_000);
            assert.deepEqual(gateway.directory.readyOf("a").map(({ id }) => id), key === "u1" ? ["u2"] : ["u1", "u2"]);
            observer.onChanges([rowOf(key, textOf({}), 5), rowOf("u1", textOf({}), 6)], 6, 0);
            assert.deepEqual(gateway.directory.readyOf("a").map(({ id }) => id).sort(), ["u1", "u2"], "later rows are followed");
            stopObserving();
            assert.equal(reasons[0], reason);
            assert.equal(reasons.length, 1, "logged once");
        });
    }

    it("does not keep peers' loads from being applied if its key is one that every object has", () => {
        const gateway = Gateway.create(platformTestSettings, requestHeaderCodec, createRandom(1));
        gateway.trafficOf("constructor");
        gateway.applyPeerLoads({ u1: [5, 1] });
        assert.equal(gateway.trafficOf("u1").load, 1);
    });

    describe("beside a node that runs", () => {
        let upstream: Server;
        let node: PlatformProcess;
        const config = {
            routes: [{ name: "a", host: "shop.example", prefix: "/desk/", routeKind: "non_idempotent", timeoutMs: 3_000, service: "a", attempts: 1 }],
            services: [{ name: "a", healthPath: "/h", maxConns: 500 }],
        };
        const putOddRows = (suffix: string): void =>
            oddRows.forEach(({ key, text }, index) => node.store.put({ table: "servers", part: "", key: key ?? `odd-${index}-${suffix}` }, Buffer.from(text)));
        const callAll = async (): Promise<readonly (number | undefined)[]> => {
            const results = await Promise.all([...Array(40).keys()].map(index => callGateway(node.front, { headers: { "attempt-id": `id-${index}` } })));
            return [...new Set(results.map(({ status }) => status))];
        };
        before(async () => {
            upstream = createServer((req, res) => {
                req.resume();
                setTimeout(() => {
                    res.writeHead(200, { "attempt-id": req.headers["attempt-id"], "server-seal": "s" });
                    res.end("done");
                }, 20);
            });
            await new Promise<void>(resolve => upstream.listen(0, "127.0.0.1", () => resolve()));
            // The odd rows are there before the node reads the table.
            node = await PlatformProcess.start(8, config, {});
            putOddRows("before");
            node.putUpstream("u1", { service: "a", addr: `127.0.0.1:${portOf(upstream)}`, slots: 64 });
            await waitFor("a sound answer", async () => (await callGateway(node.front)).status === 200, 12_000);
        });
        after(() => {
            node.close();
            upstream.closeAllConnections();
            upstream.close();
        });

        it("leaves no request without an answer if it was there at the start", async () => assert.deepEqual(await callAll(), [200]));

        it("leaves no request without an answer if it is added later, and later rows are followed", async () => {
            putOddRows("after");
            node.putUpstream("u1", { service: "b", addr: `127.0.0.1:${portOf(upstream)}`, slots: 64 });
            await waitFor("removal of u1", async () => (await callGateway(node.front)).status === 503, 5_000);
            node.putUpstream("u2", { service: "a", addr: `127.0.0.1:${portOf(upstream)}`, slots: 64 });
            await waitFor("a sound answer", async () => (await callGateway(node.front)).status === 200, 5_000);
            assert.deepEqual(await callAll(), [200]);
            assert.equal(node.process.exitCode ?? node.process.signalCode ?? undefined, undefined);
        });
    });
});
