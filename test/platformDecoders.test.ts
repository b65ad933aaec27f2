import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RouteTable } from "../src/core/routeTable";
import { defaultTransportLimits } from "../src/node/transportLimitSettings";
import { decodeConfig } from "../src/platform/configDecoder";
import { decodeServer } from "../src/platform/directoryDecoder";
import { requestHeaderCodec } from "../src/platform/requestHeaderCodec";
import { parseSettingsFile } from "../src/platform/settingsFile";
import { RouteKind } from "../src/types/servingConfig";

const settingsText = `
nodeName = "n1"
ip = "10.1.0.38"
zone = "a"
portRange = [7380,7395]
seeds = ["10.1.0.38:8144"]
bootstrap = true
heartbeatMs = 1200
unknownField = 1
[listen]
front = "10.1.0.38:8149"
ready = "10.1.0.38:8141"
control = "10.1.0.38:8144"
[limits]
memoryMb = 350
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
applyMs = 2000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
leaseMs = 3000
fencing = false
ceilingWindowS = 5
ceilingOverrun = 1.1
[platform]
addr = "10.200.1.7:8142"
`;

describe("settings file parser", () => {
    it("converts values to the node's units and ignores unknown fields", () => {
        const reading = parseSettingsFile(settingsText, defaultTransportLimits);
        assert.ok("settings" in reading);
        assert.equal(reading.settings.graceMs, 8_000);
        assert.equal(reading.settings.nodeId, "n1@10.1.0.38");
        assert.equal(reading.settings.metricsAddress, "10.1.0.38:7380");
    });

    const invalidFiles = [
        {
            name: "reports all faults at once",
            text: settingsText.replace('zone = "a"', "").replace("graceS = 8", 'graceS = "8"'),
            faults: ["zone", "bounds.graceS"],
        },
        { name: "rejects an address without a port", text: settingsText.replace('addr = "10.200.1.7:8142"', 'addr = "nowhere"'), faults: ["platform.addr"] },
        { name: "reports malformed TOML", text: "= =", faults: ["the file is not TOML"] },
    ];
    for (const { name, text, faults } of invalidFiles) {
        it(name, () => {
            const reading = parseSettingsFile(text, defaultTransportLimits);
            assert.ok("faults" in reading);
            assert.equal(reading.faults.length, faults.length);
            faults.forEach((fault, index) => assert.ok(reading.faults[index]!.startsWith(fault), reading.faults[index]));
        });
    }

    // Guards against a node that starts with defaults in place of what the rest of its file says. The fields are in the platform's order, those that may be missing included.
    it("refuses a file that was cut anywhere before the last field that it uses", () => {
        const text = settingsText.replace("memoryMb = 350", "cpuShare = 0.675\ncores = 2\nmemoryMb = 350\nmaxFds = 4100").replace(
            "unknownField = 1",
            'contracts = ["pressure"]',
        )
            .replace("[platform]", "strictRevoke = true\nrevokeMs = 4000\nquotaWindowS = 5\nquotaOverrun = 0.1\nquotaSlack = 3\n[platform]");
        const whole = parseSettingsFile(text, defaultTransportLimits);
        assert.ok("settings" in whole);
        for (let length = 0; length < text.length; length++) {
            const reading = parseSettingsFile(text.slice(0, length), defaultTransportLimits);
            if ("settings" in reading) {
                assert.deepEqual(reading, whole, `cut after ${length} characters`);
            }
        }
    });
});

const route = {
    name: "r",
    host: "Shop.example",
    prefix: "/a/",
    routeKind: "idempotent",
    timeoutMs: 100,
    sloMs: 10,
    priority: 1,
    service: "s",
    attempts: 2,
    sticky: false,
};
const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
const configOf = (routes: readonly object[]): Buffer =>
    Buffer.from(JSON.stringify({ version: 7, routes, services: [{ name: "s", healthPath: "/h", maxConns: 5 }], limits }));

describe("configuration decoder", () => {
    it("finds the route of a host with the longest matching prefix", () => {
        const reading = decodeConfig(
            configOf([route, { ...route, name: "longer", prefix: "/a/b/" }, { ...route, name: "root", prefix: "/", host: "other.example" }]),
        );
        assert.ok("config" in reading);
        const table = RouteTable.create(reading.config);
        const cases = [
            { host: "shop.example", path: "/a/x", found: "r" },
            { host: "SHOP.example", path: "/a/b/c", found: "longer" },
            { host: "shop.example", path: "/a/b", found: "r" },
            { host: "shop.example", path: "/a", found: undefined },
            { host: "shop.example", path: "/c/a/", found: undefined },
            { host: "other.example", path: "/whatever", found: "root" },
            { host: "nobody.example", path: "/a/x", found: undefined },
        ];
        cases.forEach(({ host, path, found }) => assert.equal(table.find(host, path)?.name, found, `${host}${path}`));
    });

    it("treats an unknown route kind as non-idempotent", () => {
        const reading = decodeConfig(configOf([{ ...route, routeKind: "whatever" }]));
        assert.equal("config" in reading && reading.config.routes[0]!.kind, RouteKind.NonIdempotent);
    });

    it("decodes weighted splits", () => {
        const split = [{ service: "s", weight: 90 }, { service: "t", weight: 10 }];
        const reading = decodeConfig(configOf([{ ...route, service: undefined, split }]));
        assert.deepEqual("config" in reading && reading.config.routes[0]!.targets, split);
    });

    for (const bytes of ["", "[]", "{}", '{"version":"7"}', "\u0000"]) {
        it(`rejects ${JSON.stringify(bytes)} and reports the faults`, () => {
            const reading = decodeConfig(Buffer.from(bytes));
            assert.ok("faults" in reading && reading.faults.length > 0);
        });
    }
});

describe("directory rows", () => {
    const row = { service: "s", addr: "10.0.0.1:80", zone: "a", slots: 2, state: "ready", born: 1 };
    const cases: readonly { readonly name: string; readonly row: unknown; readonly isDecoded: boolean; }[] = [
        { name: "a complete row", row, isDecoded: true },
        { name: "a row with an unknown field", row: { ...row, more: 1 }, isDecoded: true },
        { name: "a row without a service", row: { ...row, service: undefined }, isDecoded: false },
        { name: "a row with an unknown state", row: { ...row, state: "asleep" }, isDecoded: false },
        { name: "a row with a field of another type", row: { ...row, slots: "two" }, isDecoded: false },
        { name: "a row with an invalid address", row: { ...row, addr: "somewhere" }, isDecoded: false },
        { name: "a list", row: [], isDecoded: false },
    ];
    for (const { name, row: content, isDecoded } of cases) {
        it(`${name} is ${isDecoded ? "decoded" : "ignored"}`, () =>
            assert.equal(decodeServer("id", Buffer.from(JSON.stringify(content))) !== undefined, isDecoded));
    }
});

describe("request and answer headers", () => {
    it("describe the model request of a generation", () => {
        const { modelRequest, deadlineMs } = requestHeaderCodec.decodeCaller({
            model: "m/a3",
            "token-count": "1460,80",
            "prompt-prefix": "5c1e:800,91bd:410",
            "deadline-ms": "6000",
        });
        assert.deepEqual(modelRequest, {
            model: "m",
            adapter: "a3",
            promptTokens: 1460,
            maxOutputTokens: 80,
            parts: [{ id: "5c1e", tokens: 800 }, { id: "91bd", tokens: 410 }],
        });
        assert.equal(deadlineMs, 6_000);
    });

    // Guards against a head of 8 KB that takes ten times as much in the heap, for as long as its request is in progress.
    it("describe a bounded number of prompt parts", () => {
        const ids = [...Array(1_333).keys()].map(index => index.toString(16).padStart(3, "0"));
        const { modelRequest } = requestHeaderCodec.decodeCaller({ model: "m", "prompt-prefix": ids.map(id => `${id}:1`).join(",") });
        assert.deepEqual(modelRequest?.parts, ids.slice(0, 256).map(id => ({ id, tokens: 1 })));
    });

    const answers = [
        { name: "a refusal", status: 503, headers: { "not-executed": "1" }, isNotExecuted: true },
        { name: "another upstream at the address", status: 421, headers: {}, isNotExecuted: true },
        { name: "a failure without a not-executed header", status: 503, headers: {}, isNotExecuted: false },
        { name: "a success", status: 200, headers: { "server-seal": "s", "server-load": "3,0,8" }, isNotExecuted: false },
    ];
    for (const { name, status, headers, isNotExecuted } of answers) {
        it(`${name} is ${isNotExecuted ? "" : "not "}proof that nothing ran`, () =>
            assert.equal(requestHeaderCodec.decodeAnswer(status, headers).isNotExecuted, isNotExecuted));
    }
});
