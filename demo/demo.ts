import { request } from "undici";
import { expectedTokens } from "../test/fakes/engineServer";
import { callerKey, operatorToken, StandaloneFleet } from "../test/fakes/standaloneFleet";

interface Check {
    readonly name: string;
    readonly ok: boolean;
}

const isOnce = process.argv.includes("--once");
const isJson = process.argv.includes("--json");
const say = (line: string) => isJson || process.stdout.write(`${line}\n`);

const fleet = await StandaloneFleet.create({
    nodes: [{ id: "node-a1", zone: "recife-a" }, { id: "node-a2", zone: "recife-a" }, { id: "node-b1", zone: "recife-b" }],
    runners: ["a1", "a2"].map(id => ({ id: `runner-${id}`, zone: "recife-a" })).concat(["b1", "b2"].map(id => ({ id: `runner-${id}`, zone: "recife-b" }))),
});
const nodes = [...fleet.nodeUrls.values()];
const checks: Check[] = [];
const check = (name: string, ok: boolean) => {
    checks.push({ name, ok });
    say(`  ${ok ? "held" : "FAILED"}: ${name}`);
};

const post = async (url: string, body: object, headers: Readonly<Record<string, string>> = {}) => {
    const res = await request(url, {
        method: "POST",
        headers: { "authorization": `Bearer ${callerKey}`, "content-type": "application/json", ...headers },
        body: JSON.stringify(body),
    });
    return { status: res.statusCode, verdict: res.headers["jackdawtrail-verdict"], text: await res.body.text() };
};
const streamedText = (sse: string): string =>
    sse.split("\n\n").filter(event => event.startsWith("data: {")).map(event =>
        (JSON.parse(event.slice(6)) as { choices: { delta: { content?: string; }; }[]; }).choices[0]?.delta.content ?? ""
    ).join("");

const runChecks = async (): Promise<void> => {
    say("Three nodes in two availability zones are up. Writing records through the command line.");
    await fleet.writeSampleRecords();
    check("records are in force on every node and their models are resident", true);

    const messages = [{ role: "user", content: "Which fuse feeds the brake lamps of bus 1620?" }];
    say(`A caller asks ${nodes[0]}; the answer streams back.`);
    const question = await post(`${nodes[0]}/v1/chat/completions`, { model: "wiring-7b", messages, stream: true });
    say(`  answer: ${streamedText(question.text)}`);
    check(
        "the streamed answer is whole and the caller's own",
        streamedText(question.text) === expectedTokens("model:wiring-7b@1", messages).join("") && question.text.endsWith("data: [DONE]\n\n"),
    );

    say(`Another question goes to the adapter, by way of ${nodes[2]} in the other zone.`);
    const adapted = await post(`${nodes[2]}/v1/chat/completions`, { model: "wiring-7b", adapter: "bus-panels", messages });
    const content = adapted.status === 200
        ? (JSON.parse(adapted.text) as { choices: { message: { content: string; }; }[]; }).choices[0]?.message.content
        : adapted.text;
    say(`  answer: ${content}`);
    check("the adapter's answer is whole", content === expectedTokens("adapter:bus-panels@1", messages).join(""));

    say("A licence is reserved twice with one idempotency key, by way of two nodes.");
    const key = { "idempotency-key": `demo-${Date.now()}` };
    const first = await post(`${nodes[0]}/services/licences/reservations`, { bundle: "tractor" }, key);
    const second = await post(`${nodes[2]}/services/licences/reservations`, { bundle: "tractor" }, key);
    say(`  first answer ${first.text}; second answer ${second.text}`);
    const { runs } = await fleet.fetchJson(`${fleet.serviceUrl}/witness`, "") as { runs: Record<string, number>; };
    check(
        "the reservation ran once and both callers have its outcome",
        runs[key["idempotency-key"]] === 1 && first.status === 200 && second.text === first.text,
    );

    const unknown = await post(`${nodes[1]}/v1/chat/completions`, { model: "no-such-model", messages });
    say(`An unknown model is refused: status ${unknown.status}, verdict ${unknown.verdict}.`);
    check("an unknown model is refused as not run", unknown.status === 404 && unknown.verdict === "not-run");
    const violations = await fleet.violations();
    violations.forEach(violation => say(`  a witness says: ${violation}`));
    check("no witness saw memory overcommitted, a call run twice or a stream cut", violations.length === 0);
};

try {
    await runChecks();
}
catch (err) {
    say(String(err));
    check(`the demonstration ran to its end: ${String(err)}`, false);
}
const summary = { nodes, operatorToken, callerKey, model: "wiring-7b", adapter: "bus-panels", service: "licences", checks };
if (isJson || !isOnce) {
    process.stdout.write(`${JSON.stringify(summary)}\n`);
}
const end = async () => {
    await fleet.processes.stopAll();
    process.exit(checks.every(({ ok }) => ok) ? 0 : 1);
};
if (isOnce) {
    await end();
}
process.on("SIGINT", () => void end());
process.on("SIGTERM", () => void end());
