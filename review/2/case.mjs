// A small deployment; the process that controls the runners is killed and started again, and a runner leaves at the same time without reporting that it drains.
import { configOf, controllerOf, freePort, hasTrouble, isReady, runCase, send, sleep, waitFor } from "../standins/harness.mjs";
import { startStore } from "../standins/store.mjs";

const nodeCount = 7;
const runnerCount = 8;
const rounds = 3;
const drainMs = 2_000;
const contactMs = 3_000;
const workMs = 20;
const pauseMs = 100;
const seedCount = 3;
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
    const ports = await Promise.all([...Array(nodeCount).keys()].map(() => Promise.all([freePort(), freePort(), freePort(), freePort()])));
    const seeds = ports.slice(0, seedCount).map(([, , control]) => `127.0.0.1:${control}`);
    const nodes = await Promise.all(ports.map((own, index) => run.startNode(`n${index + 1}`, store.address, { seeds, ports: own })));
    for (const node of nodes) {
        await waitFor(`readiness of ${node.name}`, () => isReady(node));
        inTouchFrom.set(node.name, performance.now() + contactMs);
    }
    let isEnding = false;
    let count = 0;
    const call = async index => {
        const { name } = nodes[index];
        await sleep(Math.random() * pauseMs);
        while (!isEnding) {
            const id = `${name}-${count++}`;
            sentBy.set(id, name);
            const { status, error } = await send(nodes[index], { path: "/desk/x", id, body: "checkout", headers: { "Deadline-Ms": "4000" } });
            run.record("answer", { id, status, error });
            await sleep(pauseMs);
        }
    };
    const callers = [...nodes.keys(), ...nodes.keys()].map(call);
    await sleep(contactMs + 500);
    for (let round = 0; round < rounds; round++) {
        const leaving = runners[round];
        const killed = controllerOf(nodes);
        if (hasTrouble) {
            run.record("SIGKILL of the controller", { round, node: killed.name });
            inTouchFrom.set(killed.name, Number.POSITIVE_INFINITY);
            killed.child.kill("SIGKILL");
            await killed.child.ended;
        }
        await sleep(removalAfterKillMs);
        store.remove("servers", leaving.id);
        removedAt.set(leaving.id, performance.now());
        run.record("entry removed; the runner goes on serving", { runner: leaving.id });
        if (hasTrouble) {
            await sleep(restartAfterKillMs);
            const again = await run.startNode(killed.name, store.address, { seeds, ports: killed.ports, isFirstStart: false });
            nodes[nodes.indexOf(killed)] = again;
            inTouchFrom.set(killed.name, performance.now() + contactMs);
            await waitFor(`readiness of ${killed.name}`, () => isReady(again));
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
