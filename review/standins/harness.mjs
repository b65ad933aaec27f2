// Starts nodes with the command of the deploy file, and stand-in runners, as processes; sends requests; writes the record.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, get, request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

const here = dirname(fileURLToPath(import.meta.url));
const repository = join(here, "..", "..");

const maxRunMs = 110_000;

/** Whether the script brings about its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** Ports below the range from which the system takes those of outgoing connections. */
const firstPort = 12_000;
const portCount = 20_000;
const usedPorts = new Set();

const isFree = port =>
    new Promise(resolve => {
        const server = createServer().once("error", () => resolve(false));
        server.listen({ port, host: "127.0.0.1", exclusive: true }, () => server.close(() => resolve(true)));
    });

export const freePort = async () => {
    for (;;) {
        const port = firstPort + Math.floor(Math.random() * portCount);
        if (!usedPorts.has(port)) {
            usedPorts.add(port);
            if (await isFree(port)) {
                return port;
            }
        }
    }
};

/** The record of one run, and the processes that it started. */
export const startRun = recordFile => {
    const startedAt = performance.now();
    writeFileSync(recordFile, "");
    const folder = mkdtempSync(join(tmpdir(), "jackdawtrail-review-"));
    const children = [];
    const record = (what, fields = {}) => appendFileSync(recordFile, `${String(Math.round(performance.now() - startedAt)).padStart(6)} ${what} ${JSON.stringify(fields)}\n`);
    const start = (args, env, stdio) => {
        const child = spawn(process.execPath, args, { cwd: repository, env: { PATH: process.env.PATH, HOME: process.env.HOME, ...env }, stdio });
        children.push(child);
        child.ended = new Promise(resolve => child.once("exit", (code, signal) => resolve({ code, signal })));
        return child;
    };
    return {
        record,
        /** Starts a node; `bounds` replace those of a small deployment. */
        startNode: async (name, storeAddress, { bounds = {}, zone = "a", seeds = [], ports, isFirstStart = true } = {}) => {
            const [front, ready, control, metrics] = ports ?? await Promise.all([freePort(), freePort(), freePort(), freePort()]);
            const file = join(folder, `${name}.toml`);
            const writeSettings = changed => writeFileSync(file, settingsOf({ name, zone, front, ready, control, metrics, seeds, storeAddress, isFirstStart, bounds: { ...bounds, ...changed } }));
            writeSettings({});
            const log = join(folder, `${name}.log`);
            const out = openSync(log, "a");
            const child = start(["--max-old-space-size=160", "target/jackdawtrail.cjs", "serve-platform"], { JACKDAWTRAIL_NODE_FILE: file }, ["ignore", out, out]);
            record("node started", { name, pid: child.pid });
            void child.ended.then(({ code, signal }) => record("node ended", { name, code, signal }));
            return { name, child, front, ready, log, control: `127.0.0.1:${control}`, ports: [front, ready, control, metrics], writeSettings };
        },
        /** Starts a stand-in runner as a process; what it reports is recorded and passed to `onReport`. */
        startRunner: async (setup, onReport = () => undefined) => {
            const child = start([join(here, "runner.mjs"), JSON.stringify(setup)], {}, ["ignore", "pipe", "inherit"]);
            const port = await new Promise((resolve, reject) => {
                child.once("exit", () => reject(new Error(`runner ${setup.id} ended at once`)));
                createInterface({ input: child.stdout }).on("line", line => {
                    const report = JSON.parse(line);
                    if (report.what === "listening") {
                        resolve(report.port);
                    }
                    record(`runner ${setup.id}: ${report.what}`, report);
                    onReport(report);
                });
            });
            return { child, id: setup.id, address: `127.0.0.1:${port}`, kill: () => child.kill("SIGKILL") };
        },
        /** Ends all processes and removes the temporary folder. */
        end: async () => {
            children.forEach(child => child.kill("SIGKILL"));
            await Promise.all(children.map(({ ended }) => ended));
            if (process.env.KEEP_LOGS === "1") {
                process.stderr.write(`logs kept in ${folder}\n`);
            }
            else {
                rmSync(folder, { recursive: true, force: true });
            }
        },
    };
};

const settingsOf = ({ name, zone, front, ready, control, metrics, seeds, storeAddress, isFirstStart, bounds }) => {
    const { drainMs, graceS, leaseMs, applyMs } = { drainMs: 2_000, graceS: 8, leaseMs: 3_000, applyMs: 2_000, ...bounds };
    return `nodeName = "${name}"
role = "node"
machineClass = "frontend"
serves = ["frontend","control_plane"]
ip = "127.0.0.1"
zone = "${zone}"
region = "r"
portRange = [${metrics},${metrics}]
seeds = ${JSON.stringify(seeds)}
bootstrap = ${isFirstStart}
heartbeatMs = 1200
[zones]
${zone} = "r"
[listen]
front = "127.0.0.1:${front}"
ready = "127.0.0.1:${ready}"
control = "127.0.0.1:${control}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = ${drainMs}
graceS = ${graceS}
lossSlackMs = 200
applyMs = ${applyMs}
rollbackSlackMs = 250
outerMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
recoverS = 12
passMs = 120
againS = 0
fencing = false
leaseMs = ${leaseMs}
thawMs = 300
ceilingWindowS = 5
ceilingOverrun = 1.1
[platform]
addr = "${storeAddress}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 4.0
partWritesS = 250
rowBytes = 65536
across = true
historyS = 20
`;
};

/** Runs a case beside its record; exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. */
export const runCase = async (url, main) => {
    const run = startRun(join(dirname(fileURLToPath(url)), "record.txt"));
    const endings = [];
    let code = 2;
    const limit = setTimeout(() => {
        run.record("failed", { detail: "the case took too long" });
        void run.end().then(() => process.exit(2));
    }, maxRunMs);
    limit.unref();
    try {
        code = await main(run, end => endings.push(end)) ? 1 : 0;
    }
    catch (err) {
        run.record("failed", { detail: String(err) });
    }
    await run.end();
    endings.forEach(end => end());
    process.exit(code);
};

/** Waits until a condition holds. */
export const waitFor = async (what, condition, timeoutMs = 15_000) => {
    const endsAt = performance.now() + timeoutMs;
    while (!await condition()) {
        if (performance.now() > endsAt) {
            throw new Error(`${what} did not happen within ${timeoutMs} ms`);
        }
        await sleep(20);
    }
};

/** Whether the node answers the balancer's question with 200. */
export const isReady = ({ ready }) =>
    new Promise(resolve => {
        get({ host: "127.0.0.1", port: ready, path: "/api/readyz", agent: false }, res => {
            res.resume();
            resolve(res.statusCode === 200);
        }).on("error", () => resolve(false));
    });

/** An agent that keeps one connection open. */
export const keptConnection = () => new Agent({ keepAlive: true, maxSockets: 1 });

/** Sends one request and returns all that came back; `isComplete` is false if the answer ended early. */
export const send = ({ front }, { method = "POST", path, id, headers = {}, body = "", agent = false }) =>
    new Promise(resolve => {
        const sentAt = performance.now();
        const chunks = [];
        const finish = result => resolve({ id, body: Buffer.concat(chunks).toString(), afterMs: Math.round(performance.now() - sentAt), ...result });
        const req = request({ host: "127.0.0.1", port: front, method, path, agent, headers: { Host: "shop.example", "Attempt-Id": id, "Deadline-Ms": "6000", ...headers } }, res => {
            res.on("data", chunk => chunks.push(chunk));
            res.on("end", () => finish({ status: res.statusCode, headers: res.headers, isComplete: res.complete }));
            res.on("error", err => finish({ status: res.statusCode, headers: res.headers, isComplete: false, error: err.code }));
        });
        req.on("error", err => finish({ status: undefined, headers: {}, isComplete: false, error: err.code }));
        req.end(body);
    });

/** The node that last took the lease of the controller, by the nodes' logs. */
export const controllerOf = nodes => {
    const takenAt = ({ log }) =>
        readFileSync(log, "utf8").split("\n").filter(line => line.includes('"event":501')).map(line => JSON.parse(line).time).at(-1) ?? "";
    return [...nodes].sort((a, b) => takenAt(a) < takenAt(b) ? 1 : -1)[0];
};

/** Limits and form of a configuration, as the operator writes it. */
export const configOf = (version, routes, services) => ({
    version,
    routes,
    services,
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
});

/** A route to a service of engine runners. */
export const engineRoute = {
    name: "r",
    host: "shop.example",
    prefix: "/ask/",
    routeKind: "streaming",
    timeoutMs: 6_000,
    sloMs: 1_000,
    priority: 1,
    service: "llm",
    attempts: 2,
    sticky: true,
    resumable: true,
    gapAimMs: 600,
};

let askedCount = 0;

/** Sends a request for a model or adapter and returns the status of its answer. */
export const askModel = async (run, node, model, deadlineMs = 4_000) => {
    const id = `q-${askedCount++}`;
    const headers = {
        "Model": model,
        "Token-Count": "1460,80",
        "Prompt-Prefix": `5c1e07a2:800,${(0x1000 + askedCount).toString(16)}:660`,
        "Deadline-Ms": String(deadlineMs),
    };
    run.record("sent", { id, node: node.name, model });
    const { status, error, afterMs } = await send(node, { path: "/ask/x", id, headers, body: "question" });
    run.record("answer", { id, model, status, error, afterMs });
    return status;
};
