import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { after, before, describe, it } from "node:test";
import { ChangeOrigin } from "../src/core/sharedLog";
import { SuspectParts } from "../src/forward/suspectParts";
import type { PeerServer } from "../src/placement/peerServer";
import { decodeServer } from "../src/platform/directoryDecoder";
import { requestHeaderCodec } from "../src/platform/requestHeaderCodec";
import type { PeerAnswer } from "../src/types/placement";
import { setupLogs } from "../src/utils/events";
import { createRandom } from "../src/utils/random";
import { MemoryPlatformStore } from "./fakes/memoryPlatformStore";
import { createNode } from "./fakes/peerNodes";
import { waitFor } from "./fakes/processes";

const row = { service: "s", addr: "10.0.0.1:1", zone: "a", slots: 8, state: "ready", born: 1 };
const server = decodeServer("u1", Buffer.from(JSON.stringify(row)))!;
const timeoutMs = 3_000;

/** Guards against messages between nodes by which one node cuts another off from the rest. */
describe("odd messages of peers", () => {
    const peerServers: PeerServer[] = [];
    const abort = new AbortController();
    before(() => setupLogs("silent"));
    after(() => {
        abort.abort();
        peerServers.forEach(peerServer => peerServer.close());
        setupLogs("info");
    });

    /** Two nodes, of which the first holds the lease. */
    const createPair = async () => {
        const store = MemoryPlatformStore.create(createRandom(5));
        store.lossShare = 0;
        const first = await createNode(store, "n1", [], abort.signal);
        const second = await createNode(store, "n2", [first.peerAddress], abort.signal);
        peerServers.push(first.peerServer, second.peerServer);
        await first.lease.tick();
        await second.lease.tick();
        first.gateway.directory.replace([{ id: "u1", version: 3, server }, { id: "u2", version: 4, server: { ...server, id: "u2" } }], 4, 0);
        return { first, second };
    };

    interface OddAnswer {
        readonly name: string;
        readonly alter: (answer: PeerAnswer) => PeerAnswer;
        /** What the other node may use after the answer, and after a sound one. */
        readonly ready: readonly string[];
    }
    const alterFirst = (fields: object) => (answer: PeerAnswer): PeerAnswer => ({
        ...answer,
        changes: answer.changes.map(change => change.id === "u1" && change.server ? { ...change, server: { ...change.server, ...fields } } : change),
    });
    const oddAnswers: readonly OddAnswer[] = [
        { name: "an address that cannot be connected to", alter: alterFirst({ address: "10.0.0.1:65536" }), ready: ["u2"] },
        { name: "an entry without a list of models", alter: alterFirst({ models: undefined }), ready: ["u2"] },
        { name: "an entry under another ID", alter: alterFirst({ id: "u3" }), ready: ["u2"] },
        { name: "a version that no store reaches", alter: answer => ({ ...answer, directoryVersion: 1e300 }), ready: [] },
        { name: "no list of changes", alter: answer => ({ ...answer, changes: undefined as unknown as PeerAnswer["changes"] }), ready: [] },
    ];
    for (const { name, alter, ready } of oddAnswers) {
        it(`with ${name} leave the rest of the directory to be followed`, async () => {
            const { first, second } = await createPair();
            const exchange = first.peerServer.exchange.bind(first.peerServer);
            let answers = 0;
            first.peerServer.exchange = report => {
                answers++;
                return alter(exchange(report));
            };
            const readyIds = (): readonly string[] => second.gateway.directory.readyOf("s").map(({ id }) => id);
            first.start();
            second.start();
            await waitFor("answers", () => answers >= 3, timeoutMs);
            assert.deepEqual(readyIds(), ready);
            first.peerServer.exchange = exchange;
            first.gateway.directory.apply({ id: "u1", version: 9, server });
            first.gateway.directory.version = 9;
            await waitFor("sound entry", () => readyIds().length === 2, timeoutMs);
        });
    }

    const words: readonly { readonly name: string; readonly entries: readonly unknown[]; }[] = [
        { name: "sound entries", entries: [] },
        { name: "one odd entry among them", entries: [{ id: "u9", bornAt: "soon", ageMs: 0 }, 7] },
    ];
    for (const { name, entries } of words) {
        for (const isReport of [true, false]) {
            it(`let the word of a leaving upstream pass in ${isReport ? "a report" : "an answer"}, with ${name}`, async () => {
                const { first, second } = await createPair();
                const [from, to] = isReport ? [second, first] : [first, second];
                const changesSince = from.gateway.availability.changesSince.bind(from.gateway.availability);
                from.gateway.availability.changesSince = (...args) => [...entries as ReturnType<typeof changesSince>, ...changesSince(...args)];
                from.gateway.availability.add({ id: "u1", bornAt: server.bornAt, ageMs: 0 }, ChangeOrigin.Below);
                first.start();
                second.start();
                await waitFor("the word", () => to.gateway.directory.get("u1") !== undefined && !to.gateway.availability.mayTake(server), timeoutMs);
            });
        }
    }

    it("come from no caller's prompt parts, however long or many", async () => {
        const { first, second } = await createPair();
        const prefix = [`${"f".repeat(300)}:1`, ...[...Array(300).keys()].map(index => `${index.toString(16)}:1`)].join(",");
        const { modelRequest } = requestHeaderCodec.decodeCaller({ model: "m", "prompt-prefix": prefix });
        const suspects = SuspectParts.create({ headers: {} } as IncomingMessage, modelRequest).finish();
        second.gateway.crashLog.add({ id: "u1@1", ageMs: 0, suspects: [suspects], cleared: [] });
        first.start();
        second.start();
        await waitFor("crash at the other node", () => first.gateway.crashLog.changesSince(0).length === 1, timeoutMs);
    });
});
