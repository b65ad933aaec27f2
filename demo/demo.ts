import { request } from "undici";
import { expectedTokens } from "../test/fakes/engineServer";
import { callerKey, operatorToken, StandaloneFleet } from "../test/fakes/standaloneFleet";

interface Check {
    readonly name: string;
    readonly ok: boolean;
}

const isOnce = process.argv.includes("--once");
const isJson = process.argv.includes("--json");
const printLine = (line: string) => isJson || process.stdout.write(`${line}\n`);

const fleet = await StandaloneFleet.create({
    nodes: [{ id: "node-a1", zone: "recife-a" }, { id: "node-a2", zone: "recife-a" }, { id: "node-b1", zone: "recife-b" }],
    runners: ["a1", "a2"].map(id => ({ id: `runner-${id}`, zone: "recife-a" })).concat(["b1", "b2"].map(id => ({ id: `runner-${id}`, zone: "recife-b" }))),
});
const nodes = [...fleet.nodeUrls.values()];
const checks: Check[] = [];
const check = (name: string, ok: boolean) => {
    checks.push({ name, ok });
    printLine(`  ${ok ? "passed" : "FAILED"}: ${name}`);
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
    printLine("Three nodes in two availability zones are running. Writing records with the command line.");
    await fleet.writeSampleRecords();
    check("every node has applied the records and their models are resident", true);

    const messages = [{ role: "user", content: "Which fuse feeds the brake lamps of bus 1620?" }];
    printLine(`A caller sends a chat request to ${nodes[0]}; the answer is streamed.`);
    const streamed = await post(`${nodes[0]}/v1/chat/completions`, { model: "wiring-7b", messages, stream: true });
    printLine(`  answer: ${streamedText(streamed.text)}`);
    check(
        "the streamed answer is complete and belongs to this request",
        streamedText(streamed.text) === expectedTokens("model:wiring-7b@1", messages).join("") && streamed.text.endsWith("data: [DONE]\n\n"),
    );

    printLine(`Another request goes to the adapter, through ${nodes[2]} in the other availability zone.`);
    const adapterAnswer = await post(`${nodes[2]}/v1/chat/completions`, { model: "wiring-7b", adapter: "bus-panels", messages });
    const content = adapterAnswer.status === 200
        ? (JSON.parse(adapterAnswer.text) as { choices: { message: { content: string; }; }[]; }).choices[0]?.message.content
        : adapterAnswer.text;
    printLine(`  answer: ${content}`);
    check("the adapter's answer is complete", content === expectedTokens("adapter:bus-panels@1", messages).join(""));

    printLine("A licence is reserved twice with the same idempotency key, through two nodes.");
    const idempotencyHeader = { "idempotency-key": `demo-${Date.now()}` };
    const first = await post(`${nodes[0]}/services/licences/reservations`, { bundle: "tractor" }, idempotencyHeader);
    const second = await post(`${nodes[2]}/services/licences/reservations`, { bundle: "tractor" }, idempotencyHeader);
    printLine(`  first answer ${first.text}; second answer ${second.text}`);
    const { runs } = await fleet.fetchJson(`${fleet.serviceUrl}/witness`, "") as { runs: Record<string, number>; };
    check(
        "the reservation ran once and both requests received its outcome",
        runs[idempotencyHeader["idempotency-key"]] === 1 && first.status === 200 && second.text === first.text,
    );

    const unknown = await post(`${nodes[1]}/v1/chat/completions`, { model: "no-such-model", messages });
    printLine(`A request for an unknown model is refused: status ${unknown.status}, verdict ${unknown.verdict}.`);
    check("a request for an unknown model is refused with the verdict not-run", unknown.status === 404 && unknown.verdict === "not-run");
    const violations = await fleet.violations();
    violations.forEach(violation => printLine(`  violation: ${violation}`));
    check("no runner was overcommitted, no call ran twice and no stream was truncated", violations.length === 0);
};

try {
    await runChecks();
}
catch (err) {
    printLine(String(err));
    check(`the demonstration ran to completion: ${String(err)}`, false);
}
const summary = { nodes, operatorToken, callerKey, model: "wiring-7b", adapter: "bus-panels", service: "licences", checks };
if (isJson || !isOnce) {
    process.stdout.write(`${JSON.stringify(summary)}\n`);
}
const stopAndExit = async () => {
    await fleet.processes.stopAll();
    process.exit(checks.every(({ ok }) => ok) ? 0 : 1);
};
if (isOnce) {
    await stopAndExit();
}
process.on("SIGINT", () => void stopAndExit());
process.on("SIGTERM", () => void stopAndExit());
