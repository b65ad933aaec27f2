// A small deployment; one connection of the controller to the store is reset, and a runner leaves just after the controller reads the store again.
import { configOf, controllerOf, freePort, hasTrouble, isReady, runCase, send, sleep, waitFor } from "../standins/harness.mjs";
import { startResettableLink } from "../standins/resettableLink.mjs";
import { startStore } from "../standins/store.mjs";

const nodeCount = 10;
const runnerCount = 8;
const rounds = 4;
const seedCount = 3;
const drainMs = 2_000;
const contactMs = 3_000;
const workMs = 85;
const pauseMs = 40;
const removalAfterResetMs = 300;
/** A runner goes on serving for drainMs after its entry is gone, and a little longer. */
const lingerMs = 2_500;
const roundMs = 5_000;

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
    const failed = [];
    const runners = [];
    for (let index = 1; index <= runnerCount; index++) {
        const id = `i-${index}`;
        const runner = await run.startRunner({ id, workMs }, ({ what, attemptId }) => {
            const now = performance.now();
            const name = sentBy.get(attemptId);
            if (what === "run" && now > (removedAt.get(id) ?? Number.POSITIVE_INFINITY) + drainMs && now > inTouchFrom.get(name)) {
                late.push(attemptId);
                run.record("run breaks DRAIN", { runner: id, attemptId, node: name, afterAckMs: Math.round(now - removedAt.get(id)) });
            }
        });
        runners.push(runner);
        store.put("servers", id, { service: "desk", addr: runner.address, zone: "a", version: "1", slots: 6, state: "ready", coldLeftMs: 0, seq: 0, born: Date.now() });
    }
    const ports = await Promise.all([...Array(nodeCount).keys()].map(() => Promise.all([freePort(), freePort(), freePort(), freePort()])));
    const seeds = ports.slice(0, seedCount).map(([, , control]) => `127.0.0.1:${control}`);
    const links = new Map();
    const nodes = await Promise.all(ports.map(async (own, index) => {
        const name = `n${index + 1}`;
        const link = await startResettableLink(store.address);
        atEnd(link.close);
        links.set(name, link);
        return run.startNode(name, link.address, { seeds, ports: own });
    }));
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
            if (status !== 200) {
                failed.push(id);
                run.record("answer", { id, status, error });
            }
            await sleep(pauseMs);
        }
    };
    const callers = [...nodes.keys(), ...nodes.keys()].map(call);
    await sleep(contactMs + 500);
    for (let round = 0; round < rounds; round++) {
        const { name } = controllerOf(nodes);
        const leaving = runners[round];
        if (hasTrouble) {
            const link = links.get(name);
            const openBefore = link.size();
            await waitFor("a call to the feed of runners", () => link.reset("rows-feed?table=servers"), 2_000);
            run.record("one of the controller's connections to the store is reset", { node: name, openBefore });
            inTouchFrom.set(name, performance.now() + contactMs);
        }
        await sleep(removalAfterResetMs);
        store.remove("servers", leaving.id);
        removedAt.set(leaving.id, performance.now());
        run.record("entry removed; the runner goes on serving", { runner: leaving.id });
        await sleep(lingerMs);
        run.record("the runner exits", { runner: leaving.id });
        leaving.kill();
        await sleep(roundMs - lingerMs);
    }
    isEnding = true;
    await Promise.all(callers);
    run.record("end", { requests: count, lateRuns: late.length, withoutSuccess: failed.length });
    return late.length > 0;
});
