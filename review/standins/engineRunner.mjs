// Stand-in for a runner with an engine, in the process of the case: models, orders with `expected`, reports, crashes and restarts under one ID.
import { createServer } from "node:http";
import { sleep } from "./harness.mjs";

const maxReportAgeMs = 100;

const readJson = async req => {
    const chunks = [];
    for await (const chunk of req) {
        chunks.push(chunk);
    }
    return JSON.parse(Buffer.concat(chunks).toString() || "{}");
};

/**
 * Starts a runner. `models` maps names to { mb, loadS, diskS, adapterMb }; `held` is what it holds at first. `passOrder(order, number)` returns undefined to
 * let an order through, or the time in milliseconds after which it arrives without an answer.
 */
export const startEngineRunner = async ({ id, models, held, weightsMb, adapterSlots, record, passOrder }) => {
    const onDisk = new Set(held);
    const state = { born: 0, seq: 0, isBusy: false, loaded: new Map(), loading: undefined, isUp: false };
    const violations = [];
    let port = 0;
    let server;
    let orders = 0;

    const snapshot = () => ({
        stage: "colocated",
        models: [...state.loaded].map(([name, adapters]) => ({ name, version: 1, adapters: [...adapters] })),
        atHand: { inMemory: [...state.loaded.keys()], onDisk: [...onDisk] },
        busy: state.isBusy,
        seq: state.seq,
        queued: 0,
        active: 0,
        kvUsed: 0,
        kvTotal: 232_000,
        handles: 0,
        coming: [],
        born: state.born,
    });
    const usedMb = extra =>
        [...state.loaded].reduce((sum, [name, adapters]) => sum + models[name].mb + adapters.size * models[name].adapterMb, 0) +
        (state.loading === undefined ? 0 : models[state.loading].mb) + extra;

    const finishAfter = (seconds, change) => {
        const { born } = state;
        void sleep(seconds * 1_000).then(() => {
            if (state.born === born && state.isUp) {
                change();
                state.isBusy = false;
                record(`${id}: order carried out`, { holds: [...state.loaded.keys()], seq: state.seq });
            }
        });
    };
    /** Carries an order out now and returns the status of its answer. */
    const apply = order => {
        const { op, model, adapter, expected, holder, fence } = order;
        if (holder === undefined || fence === undefined || models[model] === undefined) {
            return 400;
        }
        if (state.isBusy || (expected !== undefined && expected !== state.seq)) {
            return 409;
        }
        if (adapter !== undefined) {
            const adapters = state.loaded.get(model);
            if (!adapters) {
                return 400;
            }
            state.seq++;
            if (op === "unload_model") {
                adapters.delete(adapter);
                return 200;
            }
            adapters.add(adapter);
            checkLimit(order);
            return 202;
        }
        if (op === "load_model" && state.loaded.has(model)) {
            return 200;
        }
        state.seq++;
        state.isBusy = true;
        if (op === "unload_model") {
            finishAfter(0.1, () => state.loaded.delete(model));
            return 202;
        }
        const { loadS, diskS } = models[model];
        state.loading = model;
        checkLimit(order);
        finishAfter(onDisk.has(model) ? diskS : loadS, () => {
            state.loading = undefined;
            state.loaded.set(model, new Set());
            onDisk.add(model);
        });
        return 202;
    };
    const checkLimit = order => {
        const adapterCount = [...state.loaded.values()].reduce((sum, adapters) => sum + adapters.size, 0);
        if (usedMb(0) > weightsMb || adapterCount > adapterSlots) {
            violations.push(order);
            record(`${id}: LIMIT, ordered to load more than it holds`, { order, usedMb: usedMb(0), weightsMb, holds: [...state.loaded.keys()] });
        }
    };
    const onOrder = async (req, res) => {
        const order = await readJson(req);
        const lateMs = passOrder(order, orders++);
        if (lateMs !== undefined) {
            record(`${id}: order gets no answer`, { order, lateMs });
            void sleep(lateMs).then(() => {
                // On its way it names the instance; a runner with this ID takes it.
                const status = state.isUp ? apply(order) : undefined;
                record(`${id}: late order arrives`, { order, status, born: state.born });
            });
            return;
        }
        const status = apply(order);
        record(`${id}: order`, { order, status, seq: state.seq });
        res.writeHead(status);
        res.end();
    };
    const onRequest = (req, res) => {
        if (req.headers["expect-instance"] !== undefined && req.headers["expect-instance"] !== id) {
            res.writeHead(421, { "Instance-Id": id });
            res.end();
            return;
        }
        if (req.url === "/api/report") {
            const body = snapshot();
            void sleep(Math.random() * maxReportAgeMs).then(() => {
                res.writeHead(200, { "Content-Type": "application/json" });
                res.end(JSON.stringify(body));
            });
            return;
        }
        if (req.url === "/api/order") {
            onOrder(req, res).catch(() => res.destroy());
            return;
        }
        const attemptId = req.headers["attempt-id"] ?? "";
        const [model, adapter] = (req.headers.model ?? "").split("/");
        const adapters = state.loaded.get(model);
        req.resume();
        if (!adapters || (adapter !== undefined && !adapters.has(adapter))) {
            res.writeHead(421, { "Instance-Id": id, "Attempt-Id": attemptId });
            res.end();
            return;
        }
        record(`${id}: run`, { attemptId, model: req.headers.model });
        res.writeHead(200, { "Attempt-Id": attemptId, "Server-Seal": `seal-${attemptId}`, "Content-Type": "text/event-stream", "Weight-Versions": "1" });
        res.end(`id: 1\ndata: piece 1 of ${attemptId}\n\n`);
    };
    const up = async () => {
        server = createServer(onRequest);
        await new Promise(resolve => server.listen(port, "127.0.0.1", resolve));
        ({ port } = server.address());
        Object.assign(state, { born: Date.now(), seq: 0, isBusy: false, loading: undefined, isUp: true });
        record(`${id}: started`, { id, born: state.born, address: `127.0.0.1:${port}` });
    };
    await up();
    held.forEach(name => state.loaded.set(name, new Set()));
    return {
        violations,
        address: `127.0.0.1:${port}`,
        holds: () => [...state.loaded.keys()],
        /** The entry that the runner keeps in the store. */
        entry: () => {
            const { models: resident, atHand, seq, born } = snapshot();
            return { service: "llm", addr: `127.0.0.1:${port}`, zone: "a", version: "1", slots: 64, state: "ready", coldLeftMs: 0, seq, born, models: resident, atHand };
        },
        crash: () => {
            Object.assign(state, { isUp: false, loading: undefined, isBusy: false });
            state.loaded.clear();
            server.close();
            server.closeAllConnections();
            record(`${id}: crashed`, { id });
        },
        restart: up,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
