import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { relayHeader, relayReportHeader } from "../src/forward/relayHeaders";
import { ContactState } from "../src/types/contactState";
import { EventId } from "../src/types/eventId";
import { RelayRefusal } from "../src/types/relayRefusal";
import { RouteKind } from "../src/types/servingConfig";
import type { CallerRequest, CallerResult } from "./fakes/gatewayHarness";
import { callGateway } from "./fakes/gatewayHarness";
import type { LoggedEvent, RelayFleet, RelayFleetOptions } from "./fakes/relayFleet";
import { withFleet } from "./fakes/relayFleet";
import type { Script } from "./fakes/scriptedUpstream";
import { answer, answerWithError, neverAnswer, refuse, reset } from "./fakes/upstreamScripts";

/** A request that is refused at once is answered within this time. */
const atOnceMs = 500;

const quiet: Script = socket => void socket.write("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: 9\r\nContent-Length: 0\r\n\r\n");
const resetThenAnswer: Script = (socket, req, upstream) => (req.index === 0 ? reset : answer)(socket, req, upstream);
/** A request at a node that is cut off, and what becomes of it. */
interface RelayCase extends RelayFleetOptions {
    readonly name: string;
    /** Changes the fleet before the request. */
    readonly prepare?: (fleet: RelayFleet) => void;
    readonly call?: CallerRequest;
    readonly status: number;
    readonly body?: string;
    /** Requests that upstreams received. */
    readonly received: number;
    readonly check?: (outcome: { readonly result: CallerResult; readonly fleet: RelayFleet; readonly events: readonly LoggedEvent[]; }) => void;
}

const refusalsOf = (events: readonly LoggedEvent[]): readonly unknown[] =>
    events.filter(({ event }) => event === EventId.RelayRefused).map(({ fields }) => fields.reason);

const isAtOnce = ({ afterMs }: CallerResult): void => assert.ok(afterMs < atOnceMs, `${afterMs} ms`);
const isPromise = (result: CallerResult): void => {
    isAtOnce(result);
    assert.ok(Number(result.headers["retry-after"]) > 0, "Retry-After");
};

const idempotent = { kind: RouteKind.Idempotent };

const cases: readonly RelayCase[] = [
    {
        name: "asks another peer if the first one is cut off as well",
        nodes: 3,
        scripts: [answer],
        prepare: ({ peers: [first] }) => first!.setContact(ContactState.Lost),
        status: 200,
        received: 1,
    },
    {
        name: "asks another peer if the first one is in doubt of its own path",
        nodes: 3,
        scripts: [answer],
        prepare: ({ peers: [first] }) => first!.setContact(ContactState.Doubted),
        status: 200,
        received: 1,
    },
    {
        name: "asks another peer if the first one cannot be reached",
        nodes: 3,
        scripts: [answer],
        prepare: ({ peers: [first] }) => first!.peerServer.close(),
        status: 200,
        received: 1,
    },
    {
        name: "asks another peer if the first one has an older configuration",
        nodes: 3,
        scripts: [answer],
        prepare: ({ origin, peers }) => [origin, peers[1]!].forEach(node => node.applyConfig(2)),
        status: 200,
        received: 1,
    },
    {
        name: "asks another peer if the first one is about to exit",
        nodes: 3,
        scripts: [answer],
        prepare: ({ peers: [first] }) => first!.stop(100),
        status: 200,
        received: 1,
    },
    {
        name: "refuses at once and says so if no peer reaches the upstreams",
        nodes: 3,
        scripts: [answer],
        prepare: ({ peers }) => peers.forEach(peer => peer.setContact(ContactState.Lost)),
        status: 503,
        received: 0,
        check: ({ result, events }) => {
            isPromise(result);
            assert.deepEqual(refusalsOf(events), [RelayRefusal.NoContact, RelayRefusal.NoContact]);
        },
    },
    {
        name: "refuses at once if it knows no peer",
        nodes: 1,
        scripts: [answer],
        status: 503,
        received: 0,
        check: ({ result }) => isPromise(result),
    },
    {
        name: "passes on that a request that must run once may have run, and does not repeat it",
        nodes: 3,
        scripts: [reset, answer],
        status: 502,
        received: 1,
    },
    {
        name: "repeats a request that may run again, within the attempts of its route",
        nodes: 3,
        scripts: [reset, reset, reset],
        route: { ...idempotent, maxAttempts: 2 },
        status: 502,
        received: 2,
    },
    {
        name: "runs a request of one attempt once",
        nodes: 3,
        scripts: [reset, answer],
        route: { ...idempotent, maxAttempts: 1 },
        status: 502,
        received: 1,
    },
    {
        name: "serves a request after a run that was lost behind the peer",
        nodes: 3,
        scripts: [resetThenAnswer, answer],
        route: { ...idempotent, maxAttempts: 2 },
        status: 200,
        received: 2,
    },
    {
        name: "passes a failure of an upstream on unchanged",
        scripts: [answerWithError],
        status: 500,
        body: "sorry",
        received: 1,
        check: ({ result: { headers } }) => assert.equal(headers["server-seal"], "seal-id-1"),
    },
    {
        name: "tells the caller that upstreams refused behind the peer, as not run",
        scripts: [refuse],
        status: 503,
        received: 1,
    },
    {
        name: "passes on when upstreams that asked the peer for quiet take requests again",
        scripts: [quiet],
        call: { headers: { "deadline-ms": "600" } },
        status: 503,
        received: 1,
        check: ({ result: { headers } }) => assert.ok(Number(headers["retry-after"]) >= 8, `${String(headers["retry-after"])} s`),
    },
    {
        name: "answers in time, and truly, if no upstream answers the peer",
        scripts: [neverAnswer],
        call: { headers: { "deadline-ms": "400" } },
        status: 504,
        received: 1,
        check: ({ result: { afterMs }, fleet: { received: [req] } }) => {
            assert.ok(afterMs < 400 + atOnceMs, `${afterMs} ms`);
            const leftMs = Number(/^deadline-ms: (\d+)$/im.exec(req!.head)?.[1]);
            assert.ok(leftMs <= 400, `${leftMs} ms left for the upstream`);
        },
    },
    {
        name: "refuses a path that the configuration does not have",
        scripts: [answer],
        call: { path: "/other" },
        status: 404,
        received: 0,
    },
];

describe("a node that is cut off from all upstreams", () => {
    it("serves a plain request through a peer instead of refusing it", () =>
        withFleet({ scripts: [answer] }, async fleet => {
            const result = await callGateway(fleet.origin.address, { path: "/desk/x?y=1", body: "hello", headers: { "x-own": "kept", hold: "mine" } });
            assert.equal(result.status, 200);
            assert.equal(result.body, "done");
            assert.equal(result.headers["server-seal"], "seal-id-1");
            assert.equal(result.headers[relayReportHeader], undefined);
            assert.equal(fleet.cutUpstream.received.length, 0);
            const [received, ...others] = fleet.received;
            assert.equal(others.length, 0);
            assert.match(received!.head, /^POST \/desk\/x\?y=1 /);
            assert.match(received!.head, /^host: shop\.example$/im);
            assert.match(received!.head, /^x-own: kept$/im);
            assert.doesNotMatch(received!.head, /^hold:/im);
            assert.equal(received!.id, "id-1");
            assert.equal(received!.body, "hello");
            assert.doesNotMatch(received!.head, new RegExp(relayHeader, "i"));
        }));

    for (const { name, prepare, call, status, body, received, check, ...options } of cases) {
        it(name, () =>
            withFleet(options, async (fleet, events) => {
                prepare?.(fleet);
                const result = await callGateway(fleet.origin.address, call);
                assert.equal(result.status, status);
                assert.equal(fleet.received.length, received);
                assert.equal(fleet.cutUpstream.received.length, 0);
                if (body !== undefined) {
                    assert.equal(result.body, body);
                }
                check?.({ result, fleet, events });
            }));
    }
});
