// A small deployment; the process that controls the runners is killed and started again, and a runner leaves at the same time without reporting that it drains.
import { configOf, hasTrouble, isReady, runCase, send, sleep, waitFor } from "../standins/harness.mjs";
import { startStore } from "../standins/store.mjs";

const nodeCount = 7;
const runnerCount = 8;
const rounds = 3;
const drainMs = 2_000;
const contactMs = 3_000;
const workMs = 20;
const removalAfterKillMs = 30;
const restartAfterKillMs = 200;
/** For how long a runner goes on serving after its entry is gone. */
const lingerMs = 9_000;

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
    const removedAt = new Map();
    const inTouchFrom = new Map();
    const sentBy = new Map();
    const late = [];
    const runners = [];
    for (let index = 1; index <= runnerCount; index++) {
        const id = `i-${index}`;
        const born = Date.now();
        const runner = await run.startRunner({ id, workMs }, ({ what, attemptId }) => {
            const now = performance.now();
            const name = sentBy.get(attemptId);
            if (what === "run" && now > (removedAt.get(id) ?? Number.POSITIVE_INFINITY) + drainMs && now > inTouchFrom.get(name)) {
                late.push(attemptId);
                run.record("run breaks DRAIN", { runner: id, attemptId, node: name, afterAckMs: Math.round(now - removedAt.get(id)) });
            }
        });
        runners.push(runner);
        store.put("servers", id, { service: "desk", addr: runner.address, zone: "a", version: "1", slots: 6, state: "ready", coldLeftMs: 0, seq: 0, born });
    }
    const nodes = [];
    for (let index = 1; index <= nodeCount; index++) {
        nodes.push(await run.startNode(`n${index}`, store.address, { seeds: nodes.slice(0, 3).map(({ control }) => control) }));
        await waitFor(`readiness of n${index}`, () => isReady(nodes.at(-1)));
        inTouchFrom.set(`n${index}`, performance.now() + contactMs);
        if (index === 1) {
            // The first node is the controller from now on.
            await sleep(1_500);
        }
    }
    const seeds = nodes.slice(1, 4).map(({ control }) => control);
    let isEnding = false;
    let count = 0;
    const call = async index => {
        const { name } = nodes[index];
        while (!isEnding) {
            const id = `${name}-${count++}`;
            sentBy.set(id, name);
            const { status, error } = await send(nodes[index], { path: "/desk/x", id, body: "checkout", headers: { "Deadline-Ms": "4000" } });
            run.record("answer", { id, status, error });
            await sleep(80);
        }
    };
    const callers = [0, 0, ...nodes.keys()].map(call);
    await sleep(contactMs + 500);
    for (let round = 0; round < rounds; round++) {
        const [first] = nodes;
        const leaving = runners[round];
        if (hasTrouble) {
            run.record("SIGKILL of n1", { round });
            inTouchFrom.set("n1", Number.POSITIVE_INFINITY);
            first.child.kill("SIGKILL");
            await first.child.ended;
        }
        await sleep(removalAfterKillMs);
        store.remove("servers", leaving.id);
        removedAt.set(leaving.id, performance.now());
        run.record("entry removed; the runner goes on serving", { runner: leaving.id });
        if (hasTrouble) {
            await sleep(restartAfterKillMs);
            nodes[0] = await run.startNode("n1", store.address, { seeds, ports: first.ports });
            inTouchFrom.set("n1", performance.now() + contactMs);
            await waitFor("readiness of n1", () => isReady(nodes[0]));
        }
        await sleep(lingerMs);
        run.record("the runner exits", { runner: leaving.id });
        leaving.kill();
    }
    isEnding = true;
    await Promise.all(callers);
    run.record("end", { requests: count, lateRuns: late.length });
    return late.length > 0;
});
