import { Agent, request } from "node:http";
import type { Random } from "../../src/utils/random";
import { pick } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import type { InvariantChecker, SoakRequest } from "./invariantChecker";
import type { NamedLimits } from "./namedLimits";
import type { SoakFleet } from "./soakFleet";
import type { SoakNode } from "./soakNode";

/** Deadline of a request, and by how much the end of its answer may exceed it. */
const deadlineMs = 3_000;
const answerGraceMs = 700;
const requestIntervalMs = 60;
/** Share of requests that the caller aborts early. */
const abortShare = 0.03;
const maxLeaveAfterMs = 100;
/** Of the requests of a caller that may be resumed and whose number divides by this, the connection breaks after some events; the caller takes them up. */
const requestsPerBreak = 3;
const breakAfterMs = 280;
const resumableRoute = "/resume/";

/** The routes: their paths, whether their requests may run twice, and whether they stream. */
const routes: readonly Omit<SoakRequest, "id" | "isAborted">[] = [
    { path: "/once/", mayRepeat: false, isStream: false },
    { path: "/again/", mayRepeat: true, isStream: false },
    { path: "/stream/", mayRepeat: false, isStream: true },
    { path: resumableRoute, mayRepeat: true, isStream: true },
];

/** Outcome of a request at its caller. The status is undefined if the connection ended without an answer. */
interface CallerOutcome {
    readonly status?: number;
    readonly body: string;
    readonly isComplete: boolean;
    /** Model or adapter that was asked for. */
    readonly model: string;
}

/** A caller that sends requests in a loop over keep-alive connections, each to any ready node, as a load balancer does. */
export class SoakCaller {
    private readonly agent = new Agent({ keepAlive: true });
    private requestCount = 0;

    private constructor(
        private readonly name: string,
        private readonly nodes: readonly SoakNode[],
        private readonly models: readonly string[],
        private readonly checker: InvariantChecker,
        private readonly limits: NamedLimits,
        private readonly random: Random,
    ) {}

    static create(
        name: string,
        nodes: readonly SoakNode[],
        { models, checker, limits }: Pick<SoakFleet, "models" | "checker" | "limits">,
        random: Random,
    ): SoakCaller {
        return new SoakCaller(name, nodes, models, checker, limits, random);
    }

    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await sleep(requestIntervalMs * (0.5 + this.random()), signal);
            const node = pick(this.nodes.filter(({ isReady }) => isReady), this.random);
            if (node) {
                await this.sendAndCheck(node);
            }
        }
        this.agent.destroy();
    }

    private async sendAndCheck(node: SoakNode): Promise<void> {
        const isLeaving = this.random() < abortShare;
        const route = pick(routes, this.random)!;
        const id = `${this.name}-${++this.requestCount}`;
        const breaksOff = route.path === resumableRoute && this.requestCount % requestsPerBreak === 0;
        const isAborted = isLeaving || breaksOff;
        const req: SoakRequest = { ...route, id, isAborted };
        this.checker.onRequest(req);
        this.limits.onRequest(req.id, node);
        this.checker.words.onRequest(req.id, node);
        const startedAt = performance.now();
        const { status, body, isComplete, model } = await this.send(
            node,
            req,
            breaksOff ? breakAfterMs : isLeaving ? maxLeaveAfterMs * this.random() : undefined,
        );
        const elapsedMs = performance.now() - startedAt;
        if (status !== undefined) {
            this.checker.onAnswer(req, status, body, isComplete);
        }
        if (req.path === resumableRoute && status === 200 && !isComplete && !isLeaving) {
            await this.takeUp(req, body, model);
        }
        const isCheckSuspended = isAborted || node.checksSuspendedUntil > startedAt;
        if (!isCheckSuspended && elapsedMs > deadlineMs + answerGraceMs) {
            this.checker.violations.push(`${req.id} (${req.path}) at ${node.name} had no final answer after ${Math.round(elapsedMs)} ms`);
        }
        if (!isCheckSuspended && status === 404) {
            this.checker.violations.push(`${req.id} (${req.path}) at ${node.name} was answered 404`);
        }
    }

    /** Takes a stream that broke off up at a ready node, with the request that brought its first event. */
    private async takeUp(broken: SoakRequest, body: string, model: string): Promise<void> {
        const events = body.split("\n\n").length - 1;
        const ready = this.nodes.filter(({ isReady }) => isReady);
        const node = ready[++this.requestCount % Math.max(1, ready.length)];
        if (events === 0 || !node) {
            return;
        }
        const req: SoakRequest = { ...broken, id: `${this.name}-${this.requestCount}`, fromEvent: events + 1 };
        this.checker.onUncountedRequest(req);
        this.limits.onRequest(req.id, node);
        this.checker.words.onRequest(req.id, node);
        const outcome = await this.send(node, req, undefined, { model, headers: { "last-event-id": String(events), "resumes": broken.id } });
        if (outcome.status !== undefined) {
            this.checker.onAnswer(req, outcome.status, outcome.body, outcome.isComplete);
        }
    }

    private pickModel(): { readonly model: string; readonly adapter: string; } {
        const model = pick(this.models, this.random)!;
        return { model, adapter: this.random() < 0.3 ? `/a${1 + Math.floor(this.random() * 3)}` : "" };
    }

    private send(
        node: SoakNode,
        req: SoakRequest,
        leaveAfterMs?: number,
        takeUp?: { readonly model: string; readonly headers: Readonly<Record<string, string>>; },
    ): Promise<CallerOutcome> {
        const { model, adapter } = takeUp ? { model: takeUp.model, adapter: "" } : this.pickModel();
        const headers = {
            "host": "shop.example",
            "attempt-id": req.id,
            "deadline-ms": String(deadlineMs),
            ...takeUp?.headers,
            ...(req.isStream ? { "model": `${model}${adapter}`, "token-count": "200,24", "prompt-prefix": `a1:100,${req.id.length}b:100` } : {}),
        };
        const [host, port] = node.callerAddress.split(":");
        return new Promise(resolve => {
            let body = "";
            const sent = request({ host, port, method: "POST", path: `${req.path}x`, headers, agent: this.agent }, res => {
                const end = (isComplete: boolean): void => resolve({ status: res.statusCode, body, isComplete, model: `${model}${adapter}` });
                res.setEncoding("utf8");
                res.on("data", (text: string) => body += text);
                res.on("end", () => end(res.complete));
                res.on("error", () => end(false));
                res.on("close", () => end(false));
            });
            sent.on("error", () => resolve({ body: "", isComplete: false, model }));
            sent.end("question");
            if (leaveAfterMs !== undefined) {
                setTimeout(() => sent.destroy(), leaveAfterMs);
            }
        });
    }
}
