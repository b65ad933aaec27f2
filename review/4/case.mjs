// An order to load a model gets no answer and is carried out late; meanwhile its runner crashes and starts again under the same ID.
import { startEngineRunner } from "../standins/engineRunner.mjs";
import { askModel, configOf, engineRoute, hasTrouble, isReady, runCase, sleep, waitFor } from "../standins/harness.mjs";
import { startStore } from "../standins/store.mjs";

const heartbeatMs = 1_200;
const lateMs = 11_500;
const crashAfterOrderMs = 1_000;
const downMs = Number(process.env.DOWN_MS ?? 4_300);
const bystanders = ["i-2", "i-3", "i-4"];

const names = ["ma", "mb", "mc", "md", "me", "mf", "mg", "mh", "mi"];
const models = Object.fromEntries(names.map(name => [name, { mb: 72_700, loadS: 4.2, diskS: 0.84, adapterMb: 66 }]));
const engine = {
    slots: 64,
    kvCapacity: 232_000,
    stride: 4,
    weightsMb: 200_000,
    adapterSlots: 8,
    loadsPerS: 2.1,
    models: names.map(name => ({ name, weightsMb: 72_700, loadS: 4.2, adapters: 2, adapterSizeMb: 66, warmS: 0.4, diskS: 0.84 })),
};

await runCase(import.meta.url, async (run, atEnd) => {
    const store = await startStore();
    atEnd(store.close);
    store.put("op", "config", configOf(3, [engineRoute], [{ name: "llm", healthPath: "/healthz", maxConns: 360, engine }]));
    let withheldAt;
    const start = async (id, held, passOrder) => {
        const runner = await startEngineRunner({ id, models, held, weightsMb: engine.weightsMb, adapterSlots: engine.adapterSlots, record: run.record, passOrder });
        atEnd(runner.close);
        store.put("servers", id, runner.entry());
        return runner;
    };
    const runner = await start("i-1", ["ma", "mc"], ({ op, model }) => {
        if (op !== "load_model" || model !== "mb" || withheldAt !== undefined) {
            return undefined;
        }
        withheldAt = performance.now();
        return hasTrouble ? lateMs : undefined;
    });
    for (const [index, id] of bystanders.entries()) {
        await start(id, names.slice(3 + 2 * index, 5 + 2 * index), () => undefined);
    }
    const node = await run.startNode("n1", store.address);
    await waitFor("readiness", () => isReady(node));
    // The models of the other runners are in use all the time.
    let isEnding = false;
    const background = names.slice(3).map(async name => {
        while (!isEnding) {
            await askModel(run, node, name);
            await sleep(250);
        }
    });
    await sleep(4_500);
    await waitFor("an adapter of ma", async () => await askModel(run, node, "ma/a1") === 200);
    await sleep(500);
    void askModel(run, node, "mb", 2_500);
    await waitFor("an order to load mb on i-1", () => withheldAt !== undefined, 5_000);
    await sleep(crashAfterOrderMs);
    if (hasTrouble) {
        runner.crash();
        // The entry of a silent runner is removed after three heartbeats.
        const lapse = setTimeout(() => {
            run.record("entry of i-1 removed");
            store.remove("servers", "i-1");
        }, 3 * heartbeatMs);
        await sleep(downMs);
        clearTimeout(lapse);
        await runner.restart();
        store.put("servers", "i-1", runner.entry());
    }
    while (performance.now() < withheldAt + lateMs + 1_500) {
        await Promise.all([askModel(run, node, "ma"), askModel(run, node, "mc")]);
        await sleep(300);
    }
    isEnding = true;
    await Promise.all(background);
    run.record("end", { holds: runner.holds(), broken: runner.violations.length });
    return runner.violations.length > 0;
});
