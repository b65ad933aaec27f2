import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { expectedTokens } from "./fakes/engineServer";
import { malformedMessages, sendRaw } from "./fakes/malformedMessages";
import { waitFor } from "./fakes/processes";
import { callerKey, operatorToken, sampleRecords, StandaloneFleet } from "./fakes/standaloneFleet";

const messages = [{ role: "user", content: "Summarise revision 3" }];
const expected = expectedTokens("model:wiring-7b@1", messages, 60).join("");

describe("failures of real processes", () => {
    let fleet: StandaloneFleet;
    const nodeUrl = (id: string) => fleet.nodeUrls.get(id)!;
    const generate = async (id: string, model = "wiring-7b") => {
        const res = await fetch(`${nodeUrl(id)}/v1/chat/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${callerKey}`, "jackdawtrail-deadline-ms": "8000" },
            body: JSON.stringify({ model, messages, max_tokens: 60 }),
        });
        return await res.json() as { choices?: { message: { content: string; }; }[]; reason?: string; verdict?: string; };
    };
    const callReserve = (id: string, key: string) =>
        fetch(`${nodeUrl(id)}/services/licences/reservations`, {
            method: "POST",
            headers: { "authorization": `Bearer ${callerKey}`, "idempotency-key": key },
            body: "{}",
        });
    const runsOf = async (key: string) => (await fleet.fetchJson(`${fleet.serviceUrl}/witness`, "") as { runs: Record<string, number>; }).runs[key] ?? 0;
    const verdictOf = async (res: Response) => [res.status, (await res.json() as { verdict: string; }).verdict];

    before(async () => {
        fleet = await StandaloneFleet.create({
            nodes: [{ id: "node-a", zone: "za" }, { id: "node-b", zone: "zb" }],
            runners: [{ id: "runner-a", zone: "za" }, { id: "runner-b", zone: "zb" }, { id: "runner-c", zone: "zb" }],
        });
        await fleet.writeSampleRecords();
    });
    after(async () => {
        try {
            assert.deepEqual(await fleet.violations(), []);
        }
        finally {
            await fleet.processes.stopAll();
        }
    });

    it("survive malformed messages", async () => {
        const port = Number(new URL(nodeUrl("node-a")).port);
        await Promise.all(Object.values(malformedMessages).map(message => sendRaw(port, message)));
        assert.equal(fleet.processes.children.get("node-a")!.exitCode ?? undefined, undefined);
        assert.equal((await generate("node-a")).choices?.[0]?.message.content, expected);
    });

    it("sends no new requests to a leaving runner, from any node", async () => {
        const url = fleet.engineUrls.get("runner-c")!;
        const received = async () => (await fleet.fetchJson(`${url}/witness`, "") as { received: number; }).received;
        await fleet.control(url, { leaving: true });
        await new Promise(resolve => setTimeout(resolve, 2_000));
        const before = await received();
        for (const id of ["node-a", "node-b", "node-a", "node-b"]) {
            assert.equal((await generate(id)).choices?.[0]?.message.content, expected);
            assert.notEqual((await generate(id, "contract-7b")).choices, undefined);
        }
        assert.equal(await received(), before);
    });

    it("resumes answers on another runner when their runner is killed midway", async () => {
        const running = [...Array(6).keys()].map(() => generate("node-a"));
        await new Promise(resolve => setTimeout(resolve, 150));
        await fleet.processes.stop("runner-a", "SIGKILL");
        // The killed runner can no longer report violations.
        fleet.engineUrls.delete("runner-a");
        for (const { choices, reason } of await Promise.all(running)) {
            assert.equal(choices?.[0]?.message.content, expected, reason);
        }
    });

    it("refuses non-repeatable calls as not-run while the table is down, and still serves models", async () => {
        await fleet.control(fleet.infrastructureUrl, { down: true });
        assert.deepEqual(await verdictOf(await callReserve("node-a", "down-1")), [503, "not-run"]);
        assert.equal((await generate("node-a")).choices?.[0]?.message.content, expected);
        await fleet.control(fleet.infrastructureUrl, { down: false });
        assert.equal(await runsOf("down-1"), 0);
        assert.equal((await callReserve("node-b", "down-1")).status, 200);
        assert.equal(await runsOf("down-1"), 1);
    });

    it("runs a call once when the table's answer to the claim is lost after the write", async () => {
        await fleet.control(fleet.infrastructureUrl, { loseAnswers: 1 });
        assert.equal((await callReserve("node-a", "lost-1")).status, 200);
        assert.equal((await callReserve("node-b", "lost-1")).status, 200);
        assert.equal(await runsOf("lost-1"), 1);
    });

    it("answers may-have-run when the service's answer is lost, and never runs the call again", async () => {
        await fleet.control(fleet.serviceUrl, { resetAfterRun: 1 });
        assert.deepEqual(await verdictOf(await callReserve("node-a", "reset-1")), [502, "may-have-run"]);
        assert.deepEqual(await verdictOf(await callReserve("node-b", "reset-1")), [409, "may-have-run"]);
        assert.equal(await runsOf("reset-1"), 1);
    });

    it("releases the claim when the service states that it did not run the call", async () => {
        await fleet.control(fleet.serviceUrl, { refuseNext: 1 });
        assert.deepEqual(await verdictOf(await callReserve("node-a", "refused-1")), [503, "not-run"]);
        assert.equal((await callReserve("node-b", "refused-1")).status, 200);
        assert.equal(await runsOf("refused-1"), 1);
    });

    it("never runs a call again whose node was suspended after it took the claim", async () => {
        await fleet.control(fleet.serviceUrl, { slowMs: 600 });
        const first = callReserve("node-a", "frozen-1");
        await waitFor("the call runs", async () => await runsOf("frozen-1") === 1);
        fleet.processes.children.get("node-a")!.kill("SIGSTOP");
        assert.deepEqual(await verdictOf(await callReserve("node-b", "frozen-1")), [409, "may-have-run"]);
        fleet.processes.children.get("node-a")!.kill("SIGCONT");
        await fleet.control(fleet.serviceUrl, { slowMs: 0 });
        assert.equal((await first).status, 200);
        assert.equal(await runsOf("frozen-1"), 1);
    });

    it("starts a node from its peers, with the current configuration, while the table is down", async () => {
        await fleet.control(fleet.infrastructureUrl, { loseAnswers: 0 });
        await fleet.processes.stop("node-b", "SIGKILL");
        await fleet.control(fleet.infrastructureUrl, { down: true, listStaysUp: true });
        await fleet.startNode("node-b", "zb");
        await waitFor("node-b has the configuration", async () => {
            const health = await (await fetch(`${nodeUrl("node-b")}/healthz`)).json() as { configSequence: number; };
            return health.configSequence === sampleRecords.length;
        });
        await fleet.control(fleet.infrastructureUrl, { down: false, listStaysUp: false });
    });

    it("commits one of two concurrent writes and returns the committed record to the other operator", async () => {
        const put = (id: string, note: string) =>
            fetch(`${nodeUrl(id)}/admin/records/model/contract-7b?base=4`, {
                method: "PUT",
                headers: { authorization: `Bearer ${operatorToken}` },
                body: JSON.stringify({ schemaVersion: 2, version: "1", memoryMiB: 9_000, deployment: "leitor", note }),
            });
        const answers = await Promise.all([put("node-a", "first"), put("node-b", "second")]);
        assert.deepEqual(answers.map(res => res.status).sort(), [200, 409]);
        const conflict = await answers.find(res => res.status === 409)!.json() as { verdict: string; winner: { record: { note: string; }; }; };
        assert.equal(conflict.verdict, "not-run");
        assert.match(conflict.winner.record.note, /first|second/);
    });
});
