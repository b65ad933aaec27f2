// Stand-in for a runner of the platform, as a process. Its argument is its setup as JSON; it reports on standard output, one JSON object a line.
import { createServer } from "node:http";

const setup = JSON.parse(process.argv[2]);
const { id, workMs = 0, events = 0, eventMs = 0, commentAfter, answerHeaders = {} } = setup;

const report = (what, fields = {}) => process.stdout.write(`${JSON.stringify({ what, ...fields })}\n`);
const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

const sealOf = attemptId => ({ "Attempt-Id": attemptId, "Server-Seal": `seal-${attemptId}` });

/** Sends the events of a stream after the last one that the caller has; an ID that is no number names no event. */
const stream = async (req, res, attemptId) => {
    const lastEventId = req.headers["last-event-id"];
    const after = /^\d+$/.test(lastEventId ?? "") ? Number(lastEventId) : 0;
    res.writeHead(200, { ...sealOf(attemptId), "Content-Type": "text/event-stream", "Weight-Versions": "1" });
    for (let number = after + 1; number <= events && !res.destroyed; number++) {
        await sleep(eventMs);
        res.write(`id: ${number}\ndata: piece ${number} of ${attemptId}\n\n`);
        report("event", { attemptId, number });
        if (number === commentAfter) {
            await sleep(eventMs);
            res.write(": keep-alive\n\n");
            report("comment", { attemptId });
        }
    }
    res.end();
    report("ended", { attemptId });
};

const server = createServer((req, res) => {
    if (req.headers["expect-instance"] !== undefined && req.headers["expect-instance"] !== id) {
        res.writeHead(421, { "Instance-Id": id });
        res.end();
        return;
    }
    if (req.url === "/healthz") {
        res.writeHead(200, { "Instance-Id": id });
        res.end();
        return;
    }
    if (req.url === "/api/report") {
        res.writeHead(200, { "Content-Type": "application/json" });
        res.end(JSON.stringify({ stage: "colocated", models: setup.models ?? [], busy: false, seq: 0, queued: 0, active: 0, kvUsed: 0, kvTotal: 90_000, handles: 0, born: setup.born }));
        return;
    }
    const attemptId = req.headers["attempt-id"];
    if (attemptId === undefined) {
        res.writeHead(400, { "Not-Executed": "1" });
        res.end();
        return;
    }
    report("run", { attemptId, lastEventId: req.headers["last-event-id"], model: req.headers.model });
    req.resume();
    if (events > 0) {
        void stream(req, res, attemptId);
        return;
    }
    void sleep(workMs).then(() => {
        const body = `done ${attemptId}`;
        res.writeHead(200, { ...sealOf(attemptId), ...answerHeaders, "Content-Length": body.length });
        res.end(body);
        report("answered", { attemptId });
    });
});
server.keepAliveTimeout = 5_000;
server.listen(setup.port ?? 0, "127.0.0.1", () => report("listening", { port: server.address().port }));
