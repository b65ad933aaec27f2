import { Agent, request } from "node:http";
import type { Random } from "../../src/utils/random";
import { pick } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import type { InvariantChecker, SoakRequest } from "./invariantChecker";
import type { LossChecker } from "./lossChecker";
import type { SoakNode } from "./soakNode";

const deadlineMs = 3_000;
/** A caller that has no answer so long after its deadline gives up. */
const patienceMs = 2_500;
const maxBodyBytes = 60_000;
const maxThinkMs = 50;
const routes: readonly Pick<SoakRequest, "path" | "mayRepeat">[] = [{ path: "/once/", mayRepeat: false }, { path: "/again/", mayRepeat: true }];

/** What a request's caller has seen of it; without a status, its connection ended before an answer. */
interface WholeOutcome {
    readonly status?: number;
    readonly body: string;
    readonly isComplete: boolean;
    readonly isGivenUp: boolean;
    /** When its last byte was sent; undefined if it was not. */
    readonly sentAt?: number;
}

/** A caller that sends each request whole, to any node that accepts, ready or not: on a connection of its own, or on one that it keeps until its node closes it. */
export class WholeCaller {
    private readonly agent: Agent | undefined;
    private node: SoakNode | undefined;
    private requestCount = 0;

    private constructor(
        private readonly name: string,
        private readonly nodes: readonly SoakNode[],
        private readonly checker: InvariantChecker,
        private readonly losses: LossChecker,
        private readonly random: Random,
        keepsConnection: boolean,
    ) {
        this.agent = keepsConnection ? new Agent({ keepAlive: true, maxSockets: 1 }) : undefined;
    }

    static create(
        name: string,
        nodes: readonly SoakNode[],
        checker: InvariantChecker,
        losses: LossChecker,
        random: Random,
        keepsConnection: boolean,
    ): WholeCaller {
        return new WholeCaller(name, nodes, checker, losses, random, keepsConnection);
    }

    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const node = this.node ?? pick(this.nodes, this.random)!;
            const isAnswered = await this.sendAndCheck(node);
            this.node = this.agent && isAnswered ? node : undefined;
            await sleep(maxThinkMs * this.random(), signal);
        }
        this.agent?.destroy();
    }

    private async sendAndCheck(node: SoakNode): Promise<boolean> {
        // Requests of these callers need not be served.
        const req: SoakRequest = { ...pick(routes, this.random)!, id: `${this.name}-${++this.requestCount}`, isStream: false, isAborted: true };
        this.checker.onRequest(req);
        const startedAt = performance.now();
        const { status, body, isComplete, isGivenUp, sentAt } = await this.send(node, req);
        if (sentAt !== undefined) {
            this.losses.sentCount++;
        }
        if (status !== undefined) {
            this.checker.onAnswer(req, status, body, isComplete);
        }
        if (!isComplete && !isGivenUp && sentAt !== undefined) {
            this.losses.onCut({ id: req.id, node, startedAt, sentAt, endedAt: performance.now(), deadlineMs });
        }
        return isComplete;
    }

    private send(node: SoakNode, { id, path }: SoakRequest): Promise<WholeOutcome> {
        const [host, port] = node.callerAddress.split(":");
        const headers = { "host": "shop.example", "attempt-id": id, "deadline-ms": String(deadlineMs) };
        return new Promise(resolve => {
            let body = "";
            let sentAt: number | undefined;
            let isGivenUp = false;
            const end = (isComplete: boolean, status?: number): void => {
                clearTimeout(timer);
                resolve({ status, body, isComplete, isGivenUp, sentAt });
            };
            const sent = request({ host, port, method: "POST", path: `${path}x`, headers, agent: this.agent ?? false }, res => {
                res.setEncoding("utf8");
                res.on("data", (text: string) => body += text);
                res.on("error", () => undefined);
                res.on("close", () => end(res.complete, res.statusCode));
            });
            const timer = setTimeout(() => {
                isGivenUp = true;
                sent.destroy();
            }, deadlineMs + patienceMs);
            sent.on("finish", () => sentAt = performance.now());
            sent.on("error", () => end(false));
            sent.end(Buffer.alloc(Math.floor(maxBodyBytes * this.random()), "q"));
        });
    }
}
