import fc from "fast-check";
import assert from "node:assert/strict";
import { isIPv4 } from "node:net";
import { after, before, describe, it } from "node:test";
import { decodeControllerRow } from "../src/core/controllerRow";
import { FailureError } from "../src/core/failures";
import { decodePeerAnswer, decodePermit, decodePlacementAnswer } from "../src/placement/peerAnswerDecoder";
import { decodeConfig } from "../src/platform/configDecoder";
import { decodeServer } from "../src/platform/directoryDecoder";
import { requestHeaderCodec } from "../src/platform/requestHeaderCodec";
import type { UpstreamServer } from "../src/types/upstreamServer";
import { setupLogs } from "../src/utils/events";
import { maxTimerMs } from "../src/utils/time";
import { oddBytesLike, oddHeader, oddValueLike } from "./fakes/oddValues";

const parameters = { seed: 41, numRuns: 2_000 };

const row = {
    service: "s",
    addr: "10.0.0.1:80",
    zone: "a",
    version: "1.0",
    slots: 2,
    state: "ready",
    models: [{ name: "m", version: 1, adapters: ["a1"] }],
    atHand: { inMemory: ["m"], onDisk: [] },
    born: 5,
    seq: 0,
    remainingMs: 100,
};
const server: UpstreamServer = decodeServer("u1", Buffer.from(JSON.stringify(row)))!;

const assertUsable = ({ id, address, slots, bornAt, acceptedOrders, remainingMs = 0, service, models }: UpstreamServer): void => {
    const [ip = "", port = ""] = address.split(":");
    assert.ok(isIPv4(ip) && Number(port) >= 1 && Number(port) <= 65_535, address);
    assert.equal(new URL(`http://${address}/`).hostname, ip);
    assert.ok(!(id in {}) && /^[\x21-\x7e]+$/.test(id), id);
    assert.ok(service.length > 0 && slots > 0 && Number.isFinite(slots));
    [bornAt, acceptedOrders, ...models.map(({ version }) => version)].forEach(value => assert.ok(Number.isSafeInteger(value) && value >= 0));
    assert.ok(remainingMs >= 0 && remainingMs <= maxTimerMs);
};

const routeFields = { name: "r", host: "h", prefix: "/", routeKind: "idempotent", timeoutMs: 100, service: "s", attempts: 1 };
const config = {
    version: 1,
    routes: [routeFields],
    services: [{ name: "s", healthPath: "/h", maxConns: 5 }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};
const isTimerMs = (ms: number): boolean => ms >= 0 && ms <= maxTimerMs;

const peerAnswer = {
    peers: [{ address: "10.0.0.1:80", zone: "a", cores: 1 }],
    peersVersion: 1,
    nodeCount: 1,
    configVersion: 1,
    directoryVersion: 5,
    epoch: 3,
    controllerAgoMs: 0,
    announced: { peerAddress: "10.0.0.1:80", epoch: 3 },
    confirmedAgoMs: 1,
    changes: [{ id: "u1", version: 4, server }],
    adapters: { revision: 1, byRunner: { u1: ["m/a1"] } },
    loads: { u1: [1, 2] },
    facts: { source: "p", revision: 1, facts: { crashes: [], limits: [{ runner: "u1@5", perSecond: 1, ageMs: 1 }] } },
};

const leaseRow = { holder: "n", boot: "b", peerAddress: "10.0.0.1:80", isReleased: false, untilMs: 5, turns: {}, storeLoads: [1], crashes: [], loads: [] };

const orFailure = <T>(decode: () => T): T | undefined => {
    try {
        return decode();
    }
    catch (err) {
        assert.ok(err instanceof FailureError, String(err));
        return undefined;
    }
};

/** Guards against odd values that end a process, or that pass a decoder and fail where they are used. */
describe("odd values", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    it("of directory rows are ignored, or name an upstream that can be used", () => {
        const id = fc.oneof(fc.constant("u1"), fc.constantFrom("", "__proto__", "constructor", "a\nb", "\u0000", "\ud800", "x".repeat(300)), fc.string());
        fc.assert(
            fc.property(id, oddBytesLike(row), (key, bytes) => {
                let faults = 0;
                const decoded = decodeServer(key, bytes, () => faults++);
                assert.equal(faults, decoded ? 0 : 1, "each ignored row has a reason");
                if (decoded) {
                    assertUsable(decoded);
                }
            }),
            parameters,
        );
    });

    it("of configurations are refused, or leave times that a timer can wait", () => {
        const configs = fc.oneof(
            oddBytesLike(config),
            oddBytesLike(routeFields).map(bytes => Buffer.from(JSON.stringify(config).replace(JSON.stringify(routeFields), () => bytes.toString()))),
            oddBytesLike(config.limits).map(bytes => Buffer.from(JSON.stringify(config).replace(JSON.stringify(config.limits), () => bytes.toString()))),
        );
        fc.assert(
            fc.property(configs, bytes => {
                const result = decodeConfig(bytes);
                if ("config" in result) {
                    const { version, routes, limits } = result.config;
                    assert.ok(version >= 0 && Number.isFinite(version));
                    [...routes.map(({ timeoutMs }) => timeoutMs), limits.headerTimeoutMs, limits.idleTimeoutMs].forEach(ms =>
                        assert.ok(isTimerMs(ms), String(ms))
                    );
                }
            }),
            parameters,
        );
    });

    it("of lease rows are refused", () => {
        fc.assert(
            fc.property(oddBytesLike(leaseRow), value => {
                const decoded = decodeControllerRow({ table: "t", part: "", key: "k", value, version: 1 });
                assert.ok(!decoded || Number.isFinite(decoded.untilMs));
            }),
            parameters,
        );
    });

    it("of peers' answers are refused, and their odd entries count as removals", () => {
        const changes = oddValueLike({ ...server }).map(odd => ({
            ...peerAnswer,
            changes: [{ id: "u1", version: 4, server: odd }, { id: "u1", version: 5, server }],
        }));
        fc.assert(
            fc.property(fc.oneof(oddValueLike(peerAnswer), changes), answer => {
                const decoded = orFailure(() => decodePeerAnswer(answer));
                decoded?.changes.forEach(change => change.server && assertUsable(change.server));
                assert.ok(!decoded || (Number.isSafeInteger(decoded.directoryVersion) && Number.isFinite(decoded.nodeCount)));
            }),
            parameters,
        );
        fc.assert(fc.property(changes, answer => assert.ok(decodePeerAnswer(answer).changes[1]!.server, "the others hold")), parameters);
        fc.assert(
            fc.property(oddValueLike({ readyInMs: 1, isComing: true, isGranted: true, waitMs: 1 }), answer => {
                assert.ok((orFailure(() => decodePlacementAnswer(answer))?.readyInMs ?? 0) >= 0);
                assert.ok((orFailure(() => decodePermit(answer))?.waitMs ?? 0) >= 0);
            }),
            parameters,
        );
    });

    it("of headers are read as absent or within what a runner can mean", () => {
        const names = ["attempt-id", "deadline-ms", "model", "token-count", "prompt-prefix", "server-load", "server-limit", "server-seal"];
        const headersArbitrary = fc.record(Object.fromEntries(names.map(name => [name, fc.oneof(oddHeader, fc.constant(undefined))])));
        fc.assert(
            fc.property(headersArbitrary, headers => {
                const { deadlineMs = 0, modelRequest } = requestHeaderCodec.decodeCaller(headers);
                assert.ok(isTimerMs(deadlineMs), String(deadlineMs));
                const counts = modelRequest ? [modelRequest.promptTokens, modelRequest.maxOutputTokens, ...modelRequest.parts.map(({ tokens }) => tokens)] : [];
                const { load, limitPerS = 0 } = requestHeaderCodec.decodeAnswer(200, headers);
                [...counts, ...Object.values(load ?? {}), limitPerS === 0 ? 0 : 1 / limitPerS].forEach(value =>
                    assert.ok(value >= 0 && value <= 1e9, String(value))
                );
            }),
            parameters,
        );
    });
});
