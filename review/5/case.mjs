// A node in its planned stop gets SIGTERM a second time, while requests that it has passed on are at their runner.
import { configOf, hasTrouble, isReady, runCase, send, sleep, waitFor } from "../standins/harness.mjs";
import { startStore } from "../standins/store.mjs";

const graceS = 8;
const workMs = 400;
const callerCount = 12;
const loadMs = 3_000;
const secondAfterMs = 1_000;
/** The load balancer has taken a stopping node out of the rotation by then. */
const rotationMs = 2_000;

await runCase(import.meta.url, async (run, atEnd) => {
    const store = await startStore();
    atEnd(store.close);
    store.put("op", "config", configOf(3, [{
        name: "r",
        host: "shop.example",
        prefix: "/desk/",
        routeKind: "non_idempotent",
        timeoutMs: 4_000,
        sloMs: 386,
        priority: 2,
        service: "desk",
        attempts: 1,
    }], [{ name: "desk", healthPath: "/healthz", maxConns: 100 }]));
    const node = await run.startNode("n1", store.address, { bounds: { graceS } });
    const ran = new Set();
    for (const id of ["i-1", "i-2", "i-3", "i-4"]) {
        const runner = await run.startRunner({ id, workMs }, ({ what, attemptId }) => what === "run" && ran.add(attemptId));
        store.put("servers", id, { service: "desk", addr: runner.address, zone: "a", version: "1", slots: 6, state: "ready", coldLeftMs: 0, seq: 0, born: Date.now() });
    }
    await waitFor("readiness", () => isReady(node));
    let stopAt = Number.POSITIVE_INFINITY;
    const unanswered = [];
    const call = async index => {
        await sleep(index * workMs / callerCount);
        for (let count = 0; performance.now() < stopAt + rotationMs && node.child.exitCode === null && node.child.signalCode === null; count++) {
            const id = `c-${index}-${count}`;
            run.record("sent", { id });
            const { status, error, afterMs } = await send(node, { path: "/desk/x", id, body: "checkout", headers: { "Deadline-Ms": "4000" } });
            run.record("answer", { id, status, error, afterMs });
            if (status === undefined) {
                unanswered.push(id);
            }
        }
    };
    const callers = [...Array(callerCount).keys()].map(call);
    await sleep(loadMs);
    stopAt = performance.now();
    run.record("SIGTERM");
    node.child.kill("SIGTERM");
    if (hasTrouble) {
        await sleep(secondAfterMs);
        run.record("SIGTERM again");
        node.child.kill("SIGTERM");
    }
    const kill = setTimeout(() => {
        run.record("SIGKILL");
        node.child.kill("SIGKILL");
    }, stopAt + graceS * 1_000 - performance.now());
    await node.child.ended;
    clearTimeout(kill);
    await Promise.all(callers);
    await sleep(200);
    // LOST: passed on to a runner, and the connection ended without an answer.
    const lost = unanswered.filter(id => ran.has(id));
    run.record("end", { unanswered: unanswered.length, lostAfterTheyWerePassedOn: lost.length });
    return lost.length > 0;
});
