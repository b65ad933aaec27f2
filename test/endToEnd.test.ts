import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { expectedTokens } from "./fakes/engineServer";
import { callerKey, operatorToken, StandaloneFleet } from "./fakes/standaloneFleet";

const messages = [{ role: "user", content: "Which fuse feeds the brake lamps?" }];
const chat = "/v1/chat/completions";
const large = "x".repeat(5_000_000);

interface Case {
    readonly name: string;
    readonly path: string;
    readonly method?: string;
    readonly key?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: unknown;
    readonly status: number;
    readonly reason: string;
}

const refusals: readonly Case[] = [
    { name: "bad JSON", path: chat, body: "{", status: 400, reason: "bad-json" },
    { name: "a body that is no object", path: chat, body: [], status: 400, reason: "bad-request" },
    { name: "no messages", path: chat, body: { model: "wiring-7b" }, status: 400, reason: "bad-request" },
    { name: "an unknown model", path: chat, body: { model: "none", messages }, status: 404, reason: "unknown-model" },
    { name: "an unknown adapter", path: chat, body: { model: "wiring-7b", adapter: "none", messages }, status: 404, reason: "unknown-adapter" },
    {
        name: "an adapter of another model",
        path: chat,
        body: { model: "contract-7b", adapter: "bus-panels", messages },
        status: 404,
        reason: "unknown-adapter",
    },
    { name: "a wrong key", path: chat, key: "wrong", body: {}, status: 401, reason: "wrong-key" },
    { name: "no key", path: chat, key: "", body: {}, status: 401, reason: "missing-key" },
    { name: "an oversized body", path: chat, body: { model: large, messages }, status: 413, reason: "body-too-large" },
    {
        name: "an expired deadline",
        path: chat,
        headers: { "jackdawtrail-deadline-ms": "0" },
        body: { model: "wiring-7b", messages },
        status: 408,
        reason: "deadline-expired",
    },
    { name: "an unknown path", path: "/v2/none", body: {}, status: 404, reason: "unknown-path" },
    { name: "a wrong method", path: chat, method: "GET", status: 405, reason: "method-not-allowed" },
    { name: "an unknown service", path: "/services/none/x", body: {}, status: 404, reason: "unknown-service" },
    { name: "operators' paths without the token", path: "/admin/records", method: "GET", status: 401, reason: "wrong-key" },
];

describe("requests end to end, through processes", () => {
    let fleet: StandaloneFleet;
    let nodes: readonly string[];
    before(async () => {
        fleet = await StandaloneFleet.create({
            nodes: [{ id: "node-a", zone: "za" }, { id: "node-b", zone: "zb" }],
            runners: [{ id: "runner-a", zone: "za" }, { id: "runner-b", zone: "zb" }],
        });
        await fleet.writeSampleRecords();
        nodes = [...fleet.nodeUrls.values()];
    });
    after(async () => {
        try {
            assert.deepEqual(await fleet.violations(), []);
        }
        finally {
            await fleet.processes.stopAll();
        }
    });

    const send = ({ path, method = "POST", key = callerKey, headers, body }: Omit<Case, "name" | "status" | "reason">, node = nodes[0]!) =>
        fetch(`${node}${path}`, {
            method,
            headers: { ...(key && { authorization: `Bearer ${key}` }), ...headers },
            body: body === undefined || typeof body === "string" ? body : JSON.stringify(body),
        });

    it("answers complete and streamed requests through every node", async () => {
        for (const node of nodes) {
            const whole = await send({ path: chat, body: { model: "wiring-7b", messages } }, node);
            const { choices } = await whole.json() as { choices: { message: { content: string; }; }[]; };
            assert.equal(choices[0]!.message.content, expectedTokens("model:wiring-7b@1", messages).join(""));
            assert.equal(whole.headers.get("jackdawtrail-verdict"), "ran");
            const streamed = await (await send({ path: chat, body: { model: "bus-panels", messages, stream: true } }, node)).text();
            assert.ok(streamed.endsWith("data: [DONE]\n\n"));
            const completion = await (await send({ path: "/v1/completions", body: { model: "contract-7b", prompt: "Draft", max_tokens: 3 } }, node)).json() as {
                choices: { text: string; }[];
            };
            assert.equal(completion.choices[0]!.text, expectedTokens("model:contract-7b@1", "Draft", 3).join(""));
        }
    });

    it("lists the models and adapters offered to the caller", async () => {
        const { data } = await (await send({ path: "/v1/models", method: "GET" })).json() as { data: { id: string; }[]; };
        assert.deepEqual(data.map(({ id }) => id).sort(), ["bus-panels", "contract-7b", "wiring-7b"]);
    });

    for (const refusal of refusals) {
        it(`refuses ${refusal.name} as not run, with reason ${refusal.reason}`, async () => {
            const res = await send(refusal);
            const problem = await res.json() as { verdict: string; reason: string; requestId: string; };
            assert.deepEqual([res.status, problem.reason, problem.verdict], [refusal.status, refusal.reason, "not-run"]);
            assert.equal(res.headers.get("jackdawtrail-verdict"), "not-run");
            assert.equal(res.headers.get("x-request-id"), problem.requestId);
            const metrics = await (await fetch(`${nodes[0]}/metrics`)).text();
            assert.match(metrics, new RegExp(`jackdawtrail_refusals_total\\{reason="${refusal.reason}",verdict="not-run"\\}`));
        });
    }

    it("runs a non-idempotent call once, whichever node receives its repeats", async () => {
        const answers: string[] = [];
        for (const node of [nodes[0]!, nodes[1]!, nodes[0]!]) {
            answers.push(
                await (await send({ path: "/services/licences/reservations", headers: { "idempotency-key": "path-1" }, body: { bundle: "b" } }, node)).text(),
            );
        }
        assert.equal(new Set(answers).size, 1);
        const other = await send({ path: "/services/licences/reservations", headers: { "idempotency-key": "path-1" }, body: { bundle: "c" } });
        assert.equal(other.status, 422);
        const { runs } = await fleet.fetchJson(`${fleet.serviceUrl}/witness`, "") as { runs: Record<string, number>; };
        assert.equal(runs["path-1"], 1);
    });

    it("recovers when an engine truncates an answer, sends another request's, resets or refuses", async () => {
        for (const fault of [{ truncateNext: 1 }, { crossNext: 1 }, { resetNext: 1 }, { refuseNext: 1 }]) {
            for (const url of fleet.engineUrls.values()) {
                await fleet.control(url, fault);
            }
            const res = await send({ path: chat, body: { model: "wiring-7b", messages } });
            const { choices } = await res.json() as { choices: { message: { content: string; }; }[]; };
            assert.equal(choices[0]!.message.content, expectedTokens("model:wiring-7b@1", messages).join(""), JSON.stringify(fault));
            for (const url of fleet.engineUrls.values()) {
                await fleet.control(url, { truncateNext: 0, crossNext: 0, resetNext: 0, refuseNext: 0 });
            }
        }
    });

    it("keeps records of both schema versions as written", async () => {
        const { record } = await fleet.fetchJson(`${nodes[1]}/admin/records/model/contract-7b`, operatorToken) as {
            record: { schemaVersion: number; note: string; };
        };
        assert.equal(record.schemaVersion, 1);
        assert.equal(record.note, "an unknown field that is kept");
    });

    it("stops gracefully under load: no request in progress is cut off", async () => {
        const running = [...Array(20).keys()].map(async () => {
            const res = await send({ path: chat, body: { model: "wiring-7b", messages, stream: true, max_tokens: 100 } }, nodes[1]);
            return (await res.text()).endsWith("data: [DONE]\n\n");
        });
        await new Promise(resolve => setTimeout(resolve, 100));
        const stopped = fleet.processes.stop("node-b");
        assert.ok((await Promise.all(running)).every(Boolean));
        assert.equal(await stopped, 0);
    });
});
