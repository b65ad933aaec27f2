import assert from "node:assert/strict";
import { createServer, Server } from "node:net";
import { after, before, describe, it } from "node:test";
import { PlatformNode } from "../src/node/platformNode";
import { setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import { platformTestSettings } from "./fakes/gatewayHarness";
import { reservePort } from "./fakes/ports";

/** Time in which a node tries its ports more than once. */
const triesMs = 1_000;

/** Guards against a port for callers that is opened and closed again, which resets the requests in its listen backlog, because another port of the node is taken. */
describe("the port for callers", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    for (const taken of ["readyAddress", "peerAddress"] as const) {
        it(`is not opened while another one is taken: ${taken}`, async () => {
            const ports = await Promise.all([...Array(5)].map(() => reservePort()));
            const [callerAddress, readyAddress, peerAddress, metricsAddress, storeAddress] = ports.map(port => `127.0.0.1:${port}`) as [string, ...string[]];
            const settings = {
                ...platformTestSettings,
                callerAddress,
                readyAddress: readyAddress!,
                peerAddress: peerAddress!,
                metricsAddress: metricsAddress!,
                storeAddress: storeAddress!,
            };
            const holder = createServer();
            await new Promise<void>(resolve => holder.listen(Number(settings[taken].split(":")[1]), "127.0.0.1", resolve));
            const opened: number[] = [];
            const { listen } = Server.prototype;
            Server.prototype.listen = function listenAndNote(this: Server, ...args: unknown[]): Server {
                opened.push(Number(args[0]));
                return Reflect.apply(listen, this, args) as Server;
            };
            const node = PlatformNode.create(settings);
            try {
                const started = node.start();
                await sleep(triesMs);
                await node.stop();
                assert.equal(await started, false);
                assert.ok(opened.filter(port => settings[taken].endsWith(`:${port}`)).length > 1, "tried more than once");
                assert.ok(!opened.includes(ports[0]!), "opened");
            }
            finally {
                Server.prototype.listen = listen;
                holder.close();
            }
        });
    }
});
