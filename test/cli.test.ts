import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, describe, it } from "node:test";
import { decide, DecisionKind, setDecisionRecorder } from "../src/core/decisions";
import { parseRecord, validateRecord } from "../src/core/recordSchemas";
import { formatTraceLine } from "../src/core/trace";
import { settingDefinitions } from "../src/node/standaloneNodeSettings";
import { EventId } from "../src/types/eventId";
import { renderSettingsFile } from "./fakes/platformSettingsFile";
import { Processes } from "./fakes/processes";
import { sampleRecords } from "./fakes/standaloneFleet";

const folder = mkdtempSync(join(tmpdir(), "cli-"));
after(() => rmSync(folder, { recursive: true }));
const writeTempFile = (name: string, text: string): string => {
    writeFileSync(join(folder, name), text);
    return join(folder, name);
};
const run = (...args: readonly string[]) => Processes.create().run(args, {});

describe("the command line", () => {
    it("lists every missing or invalid setting at once and exits with 2", async () => {
        const { code, stderr } = await run("serve", "--listen", "nowhere", "--config-poll-ms", "7", "--operator-token", "short");
        assert.equal(code, 2);
        for (const { flag, defaultValue, schema } of Object.values(settingDefinitions)) {
            const isFault = (defaultValue === undefined && !schema.safeParse(undefined).success) || flag === "--config-poll-ms";
            assert.equal(stderr.includes(`${flag} (JACKDAWTRAIL_`), isFault, flag);
        }
        assert.ok(!stderr.includes('"short"'), "a secret must not be printed");
    });

    it("validates records without a node and prints the path of each error", async () => {
        assert.equal((await run("records", "check", writeTempFile("good.json", JSON.stringify(sampleRecords)))).code, 0);
        const bad = writeTempFile(
            "bad.json",
            JSON.stringify([{ schemaVersion: 2, kind: "model", name: "m", version: "1", memoryMiB: -1 }, { schemaVersion: 9, kind: "model" }]),
        );
        const { code, stdout } = await run("records", "check", "--json", bad);
        assert.equal(code, 2);
        const paths = (JSON.parse(stdout) as { faults: { path: string; }[]; }).faults.map(({ path }) => path);
        assert.ok(["records.0.memoryMiB", "records.0.deployment", "records.1.name"].every(path => paths.includes(path)), paths.join());
    });

    it("validates a settings file of the platform and prints every error", async () => {
        const fields = {
            name: "n1",
            zone: "a",
            front: "127.0.0.1:1",
            ready: "127.0.0.1:2",
            control: "127.0.0.1:3",
            metricsPort: 4,
            seeds: [],
            storeAddress: "127.0.0.1:5",
            graceS: 6,
            budgetSlack: 7,
        };
        assert.equal((await run("check-settings", writeTempFile("good.toml", renderSettingsFile(fields)))).code, 0);
        const bad = renderSettingsFile({ ...fields, front: "nowhere" }).replace("leaseMs = 3000", 'leaseMs = "long"');
        const { code, stdout } = await run("check-settings", writeTempFile("bad.toml", bad));
        assert.equal(code, 2);
        assert.deepEqual(stdout.trim().split("\n").map(line => line.split(":", 1)[0]), ["listen.front", "bounds.leaseMs"]);
    });

    it("explains a request from the log lines of several nodes", async () => {
        const line = (time: string, event: number, fields: object): string =>
            JSON.stringify({ time: `2026-12-04T08:00:${time}Z`, level: "info", event, name: EventId[event], ...fields });
        const first = [
            line("05.000", EventId.RequestSent, { request: "r1", upstream: "u1" }),
            line("05.400", EventId.RequestRefused, { request: "r1", model: "m1" }),
            "a warning of the runtime",
        ];
        const second = [
            line("04.000", EventId.OrderSent, { runner: "u2", model: "m1" }),
            line("04.500", EventId.OrderSent, { runner: "u2", model: "m2" }),
            line("04.700", EventId.RunnerSuspected, { runner: "u1" }),
            line("20.000", EventId.OrderSent, { runner: "u2", model: "m1" }),
        ];
        const files = [writeTempFile("n1.log", first.join("\n")), writeTempFile("n2.log", second.join("\n"))];
        const { code, stdout } = await run("explain-request", "r1", ...files);
        assert.equal(code, 0);
        const printedEvents = stdout.trim().split("\n").map(text => /"event":(\d+)/.exec(text)![1]);
        assert.deepEqual(printedEvents.map(Number), [EventId.OrderSent, EventId.RunnerSuspected, EventId.RequestSent, EventId.RequestRefused]);
        assert.equal((await run("explain-request", "r2", ...files)).code, 1);
    });

    it("replays a trace and prints the first difference with exit code 4", async () => {
        const lines: string[] = [];
        setDecisionRecorder((decision, input, outcome) => void lines.push(formatTraceLine({ decision, input, outcome })));
        const report = {
            incarnation: "1",
            sequence: 1,
            memoryMiB: 100,
            slots: 1,
            active: 0,
            queued: 0,
            fence: 0,
            leaving: false,
            residencies: [],
            openOrders: [],
        };
        const rules = { now: 0, agesMs: {}, latenessMs: 1, checksFence: false, self: "n/1", goneHolders: [] };
        decide(DecisionKind.Reconcile, { row: { runner: "r", incarnation: "1", memoryMiB: 100, entries: [] }, report, rules });
        setDecisionRecorder(undefined);
        assert.equal((await run("replay", writeTempFile("good.trace", lines.join("\n")))).code, 0);
        const { code, stdout } = await run("replay", writeTempFile("bad.trace", lines.join("\n").replace('"gone":[]', '"gone":["model:m@1"]')));
        assert.deepEqual([code, stdout.startsWith("line 1, reconcile")], [4, true]);
    });

    it("exits with 3 if no node can be reached", async () => {
        assert.equal((await run("status", "--url", "http://127.0.0.1:1", "--operator-token", "x")).code, 3);
    });
});

describe("record schemas", () => {
    const v1 = { schemaVersion: 1, kind: "model", name: "m", version: "1", memoryBytes: 1_048_577, deployment: "d", later: { kept: true } };
    const cases: readonly { readonly name: string; readonly raw: unknown; readonly expected: object | undefined; }[] = [
        { name: "a model of version 1", raw: v1, expected: { memoryMiB: 2, later: { kept: true } } },
        {
            name: "a caller's number as priority",
            raw: { schemaVersion: 1, kind: "caller", name: "c", keyHashes: ["0".repeat(64)], priority: 2 },
            expected: { priority: "low" },
        },
        {
            name: "a list of repeatable calls",
            raw: { schemaVersion: 1, kind: "service", name: "s", calls: ["GET /stock"] },
            expected: { calls: [{ method: "GET", path: "/stock", repeatable: true }] },
        },
        { name: "an unknown kind", raw: { schemaVersion: 2, kind: "car", name: "c" }, expected: undefined },
        { name: "a list", raw: [], expected: undefined },
    ];
    for (const { name, raw, expected } of cases) {
        it(`reads ${name}`, () => {
            const result = parseRecord(raw);
            assert.equal(result.ok, expected !== undefined);
            if (result.ok) {
                Object.entries(expected!).forEach(([key, value]) => assert.deepEqual((result.record as Record<string, unknown>)[key], value));
            }
        });
    }

    it("reads a newer version that only adds fields, and rejects it on write", () => {
        const newer = { schemaVersion: 3, kind: "deployment", name: "d", checksFence: true, added: 1 };
        assert.equal(parseRecord(newer).ok, true);
        assert.equal(validateRecord(newer).ok, false);
    });
});

describe("generated pages", () => {
    it("contain every event and setting", () => {
        assert.match(readFileSync("docs/EVENTS.md", "utf8"), /908/);
        Object.values(settingDefinitions).forEach(({ flag }) => assert.ok(readFileSync("docs/CONFIGURATION.md", "utf8").includes(flag), flag));
    });
});
