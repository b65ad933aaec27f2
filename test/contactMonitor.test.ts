import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { ContactMonitor } from "../src/forward/contactMonitor";
import { askUpstream } from "../src/platform/upstreamQuestion";
import { ContactState } from "../src/types/contactState";
import { setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import type { Script } from "./fakes/scriptedUpstream";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";
import { answer } from "./fakes/upstreamScripts";

/** Time after which a node that is cut off counts as out of contact. */
const contactMs = 3_000;
const isProbe = (head: string): boolean => head.startsWith("GET /healthz ");
const refuse: Script = socket => void socket.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
const waitFor = async (condition: () => boolean): Promise<number> => {
    const startedAt = performance.now();
    while (!condition() && performance.now() - startedAt < contactMs) {
        await sleep(20);
    }
    return performance.now() - startedAt;
};

describe("probes of the own path to upstreams", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    const cuts: readonly { readonly name: string; readonly onRequest: (socket: Socket) => void; }[] = [
        { name: "connections that open and are silent", onRequest: () => undefined },
        { name: "connections that are reset", onRequest: socket => void socket.resetAndDestroy() },
        { name: "connections that are closed", onRequest: socket => void socket.destroy() },
    ];
    for (const { name, onRequest } of cuts) {
        for (const hasRequests of [false, true]) {
            it(`find a cut and its end: ${name}, ${hasRequests ? "requests" : "no requests"}`, async () => {
                let isCut = false;
                const script: Script = (socket, req, upstream) =>
                    isCut ? onRequest(socket) : isProbe(req.head) ? refuse(socket, req, upstream) : answer(socket, req, upstream);
                const upstreams = await Promise.all([0, 1, 2, 3].map(() => startScriptedUpstream(script)));
                const node = await startGateway(upstreams.map(({ address }) => address));
                const { contact } = node.gateway;
                const stopped = new AbortController();
                ContactMonitor.create(node.gateway, askUpstream).start(stopped.signal);
                const requests = hasRequests ? setInterval(() => void callGateway(node.address), 50) : undefined;
                await sleep(1_500);
                const before = [contact.state, contact.lossCount];
                isCut = true;
                const lostAfterMs = await waitFor(() => contact.state === ContactState.Lost);
                isCut = false;
                const heldAfterMs = await waitFor(() => contact.state === ContactState.Held);
                clearInterval(requests);
                stopped.abort();
                node.close();
                upstreams.forEach(upstream => upstream.close());
                assert.deepEqual(before, [ContactState.Held, 0]);
                assert.ok(lostAfterMs < contactMs, `lost after ${lostAfterMs} ms`);
                assert.ok(heldAfterMs < contactMs, `held after ${heldAfterMs} ms`);
                assert.equal(contact.lossCount, 1);
            });
        }
    }

    // Guards against a node that stays not ready for an error of its own that has passed, while the upstreams are silent.
    it("that this node cannot send are forgotten once it can, though no upstream answers", async () => {
        const upstreams = await Promise.all([0, 1].map(() => startScriptedUpstream(() => undefined)));
        const node = await startGateway(upstreams.map(({ address }) => address));
        const { contact } = node.gateway;
        let isBroken = true;
        const stopped = new AbortController();
        const ask: typeof askUpstream = (...args) => isBroken ? Promise.reject(new RangeError("no memory")) : askUpstream(...args);
        ContactMonitor.create(node.gateway, ask).start(stopped.signal);
        await waitFor(() => contact.cannotSend);
        const cannotSend = [contact.cannotSend];
        isBroken = false;
        await waitFor(() => !contact.cannotSend);
        cannotSend.push(contact.cannotSend);
        stopped.abort();
        node.close();
        upstreams.forEach(upstream => upstream.close());
        assert.deepEqual(cannotSend, [true, false]);
        assert.equal(contact.state, ContactState.Lost);
    });

    const limits: readonly { readonly name: string; readonly limitedCount: number; readonly isProbed: boolean; }[] = [
        { name: "leave upstreams alone that have named a limit", limitedCount: 3, isProbed: false },
        { name: "ask upstreams that have named a limit if there are no others", limitedCount: 4, isProbed: true },
    ];
    for (const { name, limitedCount, isProbed } of limits) {
        it(name, async () => {
            const upstreams = await Promise.all([0, 1, 2, 3].map(() => startScriptedUpstream(refuse)));
            const node = await startGateway(upstreams.map(({ address }) => address));
            const stopped = new AbortController();
            ContactMonitor.create(node.gateway, askUpstream).start(stopped.signal);
            await waitFor(() => upstreams.some(({ received }) => received.length > 0));
            const byProbes = [...upstreams.keys()].sort((a, b) => upstreams[b]!.received.length - upstreams[a]!.received.length);
            const limited = byProbes.slice(0, limitedCount);
            limited.forEach(index => node.gateway.runnerLimits.onAnswer(`up-${index}@1`, 1, performance.now()));
            const before = upstreams.map(({ received }) => received.length);
            await sleep(3_000);
            stopped.abort();
            node.close();
            upstreams.forEach(upstream => upstream.close());
            const probed = [...upstreams.keys()].filter(index => upstreams[index]!.received.length > before[index]!);
            assert.ok(probed.length > 0);
            assert.equal(probed.some(index => limited.includes(index)), isProbed);
            assert.equal(node.gateway.contact.state, ContactState.Held);
        });
    }

    const paths: readonly { readonly healthPath: string; readonly expected: string; }[] = [
        { healthPath: "/healthz?deep=1", expected: "/healthz?deep=1" },
        { healthPath: "healthz", expected: "/" },
        { healthPath: "", expected: "/" },
        { healthPath: "/health z", expected: "/" },
        { healthPath: "/h\u{1f600}", expected: "/" },
    ];
    for (const { healthPath, expected } of paths) {
        // Guards against a path that counts as lost as the health path of a configuration cannot be sent.
        it(`are answered at an upstream with the health path "${healthPath}"`, async () => {
            const upstream = await startScriptedUpstream(refuse);
            const server = { id: "u", service: "desk", address: upstream.address } as Parameters<typeof askUpstream>[0];
            try {
                await askUpstream(server, { name: "desk", healthPath, maxConnections: 1 }, AbortSignal.timeout(contactMs), () => undefined);
                assert.equal(upstream.received[0]?.head.split(" HTTP")[0], `GET ${expected}`);
            }
            finally {
                upstream.close();
            }
        });
    }

    it("ask a runner for its report and another upstream for its health, over new connections", async () => {
        const upstreams = await Promise.all([0, 1].map(() => startScriptedUpstream(refuse)));
        const server = { id: "u", service: "desk", address: upstreams[0]!.address } as Parameters<typeof askUpstream>[0];
        const plain = { name: "desk", healthPath: "/healthz", maxConnections: 1 };
        let opened = 0;
        await askUpstream(server, plain, AbortSignal.timeout(contactMs), () => opened++);
        await askUpstream({ ...server, address: upstreams[1]!.address }, { ...plain, engine: {} as never }, AbortSignal.timeout(contactMs), () => opened++);
        upstreams.forEach(upstream => upstream.close());
        assert.deepEqual(upstreams.map(({ received }) => received[0]?.head.split(" HTTP")[0]), ["GET /healthz", "GET /api/report"]);
        assert.equal(opened, 2);
    });
});
