import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { ContactMonitor } from "../src/forward/contactMonitor";
import { UpstreamProber } from "../src/forward/upstreamProber";
import { defaultTransportLimits } from "../src/node/transportLimitSettings";
import { RunnerClient } from "../src/platform/runnerClient";
import { askUpstream } from "../src/platform/upstreamQuestion";
import { ContactState } from "../src/types/contactState";
import { RouteKind } from "../src/types/servingConfig";
import { UpstreamState } from "../src/types/upstreamServer";
import { setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import { SuspendableUpstream } from "./fakes/suspendableUpstream";
import { sseEvents } from "./fakes/upstreamScripts";

const events = 8;
const plainWork = { firstByteMs: 300 };
const streamWork = { firstByteMs: 150, events, eventIntervalMs: 60 };
const modelHeaders = { "model": "m", "token-count": "100,10", "prompt-prefix": "a:100" };
/** Time from the last end of a silence until the state of the node is judged. */
const settleMs = 700;

/** Which upstreams fall silent. */
enum Silent {
    One = "one upstream of two",
    Service = "all upstreams of the service",
    Node = "all upstreams of the node",
}

interface RouteCase {
    readonly name: string;
    readonly kind: RouteKind;
    readonly isResumable?: boolean;
    readonly isStream?: boolean;
    /** Whether the request may also be answered by another upstream. */
    readonly mayRepeat?: boolean;
}

const routeCases: readonly RouteCase[] = [
    { name: "a request that must run once", kind: RouteKind.NonIdempotent },
    { name: "a request that may be repeated", kind: RouteKind.Idempotent, mayRepeat: true },
    { name: "a stream that may be resumed", kind: RouteKind.Streaming, isStream: true, isResumable: true },
    { name: "a stream that may not be resumed", kind: RouteKind.Streaming, isStream: true },
];

/** Guards against nodes that take an upstream which is silent for a second for a dead one, and cut or repeat what it works on. */
describe("upstreams that are silent for a while and go on", { concurrency: 4 }, () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    const silences = Object.values(Silent).flatMap(silent => [1_000, 1_500].map(silentMs => ({ silent, silentMs })));
    /** Silence that begins before the head of an answer, and in the middle of it. */
    const begins = [{ name: "before its answer", atMs: 100 }, { name: "within its answer", atMs: 300 }];
    for (const { name, kind, isResumable = false, isStream = false, mayRepeat = false } of routeCases) {
        for (const { silent, silentMs } of silences) {
            for (const begin of begins.filter(({ atMs }) => isStream || atMs < plainWork.firstByteMs)) {
                it(`keep ${name}: ${silent}, ${silentMs} ms, ${begin.name}`, async () => {
                    const work = isStream ? streamWork : plainWork;
                    const upstreams = await Promise.all([0, 1].map(index => SuspendableUpstream.create(`up-${index}`, work)));
                    const other = await SuspendableUpstream.create("other", plainWork);
                    const route = { kind, isResumable, maxAttempts: 2, timeoutMs: 6_000 };
                    const { gateway, address, close } = await startGateway(upstreams.map(upstream => upstream.address), route);
                    const stopped = new AbortController();
                    try {
                        const services = new Map([...gateway.config!.services, ["counter", { name: "counter", healthPath: "/h", maxConnections: 100 }]]);
                        gateway.applyConfig({ ...gateway.config!, version: 2, services }, Buffer.from(""));
                        gateway.directory.apply({
                            id: "other",
                            version: 9,
                            server: { ...gateway.directory.get("up-0")!, id: "other", service: "counter", address: other.address, state: UpstreamState.Ready },
                        });
                        gateway.prober = UpstreamProber.create(RunnerClient.create(defaultTransportLimits));
                        gateway.contactMonitor = ContactMonitor.create(gateway, askUpstream);
                        gateway.contactMonitor.start(stopped.signal);
                        gateway.trafficOf("up-0").onFirstByte(1);
                        const result = callGateway(address, { headers: { "deadline-ms": "5000", ...(isStream ? modelHeaders : {}) } });
                        await sleep(begin.atMs);
                        const suspended = { [Silent.One]: [upstreams[0]!], [Silent.Service]: upstreams, [Silent.Node]: [...upstreams, other] }[silent];
                        suspended.forEach(upstream => upstream.suspend(silentMs));
                        const { status, body, isComplete, afterMs } = await result;
                        await sleep(settleMs);
                        const runs = upstreams.map(({ runCount }) => runCount);
                        const seen = `${status}, ${body.length} bytes after ${Math.round(afterMs)} ms, runs ${runs.join()}`;
                        assert.ok(status === 200 && isComplete, seen);
                        assert.equal(body, isStream ? sseEvents(1, events) : "done", seen);
                        assert.ok(afterMs < begin.atMs + silentMs + 1_000, seen);
                        if (!mayRepeat) {
                            assert.deepEqual(runs, [1, 0], seen);
                            assert.equal(upstreams[0]!.cutRuns, 0, seen);
                        }
                        assert.ok(!gateway.trafficOf("up-0").isUnreachable, "is marked as unreachable");
                        assert.equal(gateway.contact.state, ContactState.Held);
                    }
                    finally {
                        stopped.abort();
                        close();
                        [...upstreams, other].forEach(upstream => upstream.close());
                    }
                });
            }
        }
    }

    interface DeadCase {
        readonly name: string;
        readonly isStream: boolean;
        readonly end: (upstream: SuspendableUpstream) => void;
        readonly withinMs: number;
    }
    const deadCases: readonly DeadCase[] = [
        { name: "a request that may be repeated leaves one that ended", isStream: false, end: upstream => upstream.crash(), withinMs: 1_000 },
        { name: "a request that may be repeated leaves one that stays silent", isStream: false, end: upstream => upstream.suspend(60_000), withinMs: 1_500 },
        { name: "a stream leaves one that ended", isStream: true, end: upstream => upstream.crash(), withinMs: 1_500 },
        { name: "a stream leaves one that stays silent", isStream: true, end: upstream => upstream.suspend(60_000), withinMs: 3_500 },
    ];
    for (const { name, isStream, end, withinMs } of deadCases) {
        it(`are told from dead ones: ${name}`, async () => {
            const upstreams = await Promise.all([0, 1].map(index => SuspendableUpstream.create(`up-${index}`, isStream ? streamWork : plainWork)));
            const kind = isStream ? RouteKind.Streaming : RouteKind.Idempotent;
            const route = { kind, isResumable: isStream, maxAttempts: 2, timeoutMs: 6_000 };
            const { gateway, address, close } = await startGateway(upstreams.map(upstream => upstream.address), route);
            const stopped = new AbortController();
            try {
                gateway.prober = UpstreamProber.create(RunnerClient.create(defaultTransportLimits));
                gateway.contactMonitor = ContactMonitor.create(gateway, askUpstream);
                gateway.contactMonitor.start(stopped.signal);
                gateway.trafficOf("up-0").onFirstByte(1);
                const result = callGateway(address, { headers: { "deadline-ms": "5000", ...(isStream ? modelHeaders : {}) } });
                await sleep(isStream ? 300 : 100);
                end(upstreams[0]!);
                const { status, body, afterMs } = await result;
                assert.equal(status, 200);
                assert.equal(body, isStream ? sseEvents(1, events) : "done");
                assert.ok(afterMs < withinMs, `${afterMs} ms`);
            }
            finally {
                stopped.abort();
                close();
                upstreams.forEach(upstream => upstream.close());
            }
        });
    }
});
