import { Agent, request } from "node:http";
import type { Random } from "../../src/utils/random";
import { pick } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import type { InvariantChecker, SoakRequest } from "./invariantChecker";
import type { SoakNode } from "./soakNode";

/** How long a caller waits, and how much later than that an answer may come. */
const deadlineMs = 3_000;
const answerSlackMs = 700;
const pauseMs = 60;
/** Share of requests whose caller leaves early. */
const leavingShare = 0.03;

/** Paths of the routes, with what may be done on them. */
const routes: readonly Omit<SoakRequest, "id">[] = [
    { path: "/once/", mayRepeat: false, isStream: false },
    { path: "/again/", mayRepeat: true, isStream: false },
    { path: "/stream/", mayRepeat: false, isStream: true },
    { path: "/resume/", mayRepeat: true, isStream: true },
];

/** Outcome of a request at its caller; no status where the connection ended without an answer. */
interface Outcome {
    readonly status?: number;
    readonly body: string;
    readonly isWhole: boolean;
}

/** A caller that asks again and again over kept connections, as the balancer sends it. */
export class SoakCaller {
    private readonly agent = new Agent({ keepAlive: true });
    private count = 0;

    private constructor(
        private readonly name: string,
        private readonly nodes: readonly SoakNode[],
        private readonly models: readonly string[],
        private readonly witness: InvariantChecker,
        private readonly random: Random,
    ) {}

    static create(name: string, nodes: readonly SoakNode[], models: readonly string[], witness: InvariantChecker, random: Random): SoakCaller {
        return new SoakCaller(name, nodes, models, witness, random);
    }

    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await sleep(pauseMs * (0.5 + this.random()), signal);
            const node = pick(this.nodes.filter(({ isReady }) => isReady), this.random);
            if (node) {
                await this.ask(node);
            }
        }
        this.agent.destroy();
    }

    private async ask(node: SoakNode): Promise<void> {
        const req: SoakRequest = { ...pick(routes, this.random)!, id: `${this.name}-${++this.count}` };
        this.witness.onRequest(req);
        const startedAt = performance.now();
        const isLeaving = this.random() < leavingShare;
        const { status, body, isWhole } = await this.send(node, req, isLeaving);
        const tookMs = performance.now() - startedAt;
        if (status !== undefined) {
            this.witness.onAnswer(req, status, body, isWhole);
        }
        const isExcused = isLeaving || node.checksSuspendedUntil > startedAt;
        if (!isExcused && tookMs > deadlineMs + answerSlackMs) {
            this.witness.violations.push(`${req.id} (${req.path}) at ${node.name} had no final answer after ${Math.round(tookMs)} ms`);
        }
        if (!isExcused && status === 404) {
            this.witness.violations.push(`${req.id} (${req.path}) at ${node.name} was answered 404`);
        }
    }

    private send(node: SoakNode, req: SoakRequest, isLeaving: boolean): Promise<Outcome> {
        const model = pick(this.models, this.random)!;
        const adapter = this.random() < 0.3 ? `/a${1 + Math.floor(this.random() * 3)}` : "";
        const headers = {
            "host": "shop.example",
            "attempt-id": req.id,
            "deadline-ms": String(deadlineMs),
            ...(req.isStream ? { "model": `${model}${adapter}`, "token-count": "200,24", "prompt-prefix": `a1:100,${req.id.length}b:100` } : {}),
        };
        const [host, port] = node.callerAddress.split(":");
        return new Promise(resolve => {
            let body = "";
            const sent = request({ host, port, method: "POST", path: `${req.path}x`, headers, agent: this.agent }, res => {
                const end = (isWhole: boolean): void => resolve({ status: res.statusCode, body, isWhole });
                res.setEncoding("utf8");
                res.on("data", (text: string) => body += text);
                res.on("end", () => end(res.complete));
                res.on("error", () => end(false));
                res.on("close", () => end(false));
            });
            sent.on("error", () => resolve({ body: "", isWhole: false }));
            sent.end("question");
            if (isLeaving) {
                setTimeout(() => sent.destroy(), 100 * this.random());
            }
        });
    }
}
