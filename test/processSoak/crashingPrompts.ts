import { request } from "node:http";
import type { Random } from "../../src/utils/random";
import { pick } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import type { InvariantChecker, SoakRequest } from "./invariantChecker";
import type { SoakNode } from "./soakNode";
import type { SoakUpstream } from "./soakUpstream";

/** Nodes in contact send at most so many requests with a part, later than `contactMs` after the fifth crash that it caused, or the third under one request. */
const contactMs = 3_000;
const toleratedPartCrashes = 5;
const toleratedRequestCrashes = 3;
const maxLateRequests = 3;
const requestIntervalMs = 250;
const paths = ["/stream/", "/resume/"];
const crashingBody = "crashing-body";

/** A run of a request with a crashing part. */
interface CrashingRun {
    readonly at: number;
    /** Whether the node that sent it was in contact. */
    readonly isCounted: boolean;
}

/** Prompt parts and a request that crash each runner that begins an answer on one, callers that send them, and the check that nodes stop that. */
export class CrashingPrompts {
    private readonly runsByPart = new Map<string, CrashingRun[]>();
    private readonly nodeByRequest = new Map<string, SoakNode>();
    private requestCount = 0;

    private constructor(private readonly onCrash: (runner: SoakUpstream) => Promise<void>) {}

    static create(onCrash: (runner: SoakUpstream) => Promise<void>): CrashingPrompts {
        return new CrashingPrompts(onCrash);
    }

    /** Records a run; returns whether its runner crashes on it. */
    onRun(id: string): boolean {
        const part = [...this.runsByPart.keys()].find(key => id.startsWith(`${key}-`));
        const node = this.nodeByRequest.get(id);
        if (part !== undefined) {
            const at = performance.now();
            this.runsByPart.get(part)!.push({ at, isCounted: node !== undefined && node.checksSuspendedUntil < at });
        }
        return part !== undefined;
    }

    crash(runner: SoakUpstream): Promise<void> {
        return this.onCrash(runner);
    }

    /** Sends requests with a part, no two alike, to any ready node until the signal aborts. */
    async send(part: string, nodes: readonly SoakNode[], models: readonly string[], checker: InvariantChecker, random: Random, signal: AbortSignal) {
        this.runsByPart.set(part, []);
        while (!signal.aborted) {
            await sleep(requestIntervalMs * (0.5 + random()), signal);
            const node = pick(nodes.filter(({ isReady }) => isReady), random);
            if (node) {
                const path = pick(paths, random)!;
                const req = { id: `${part}-${++this.requestCount}`, path, mayRepeat: path === "/resume/", isStream: true };
                this.nodeByRequest.set(req.id, node);
                checker.onUncountedRequest(req);
                const prompt = { model: pick(models, random)!, "token-count": "170,24", "prompt-prefix": `a1:100,${part}:50,own${this.requestCount}:20` };
                sendOne(node, req, prompt, "question", checker);
            }
        }
    }

    /** Sends one request to a plain service again and again, to any ready node until the signal aborts. */
    async sendSame(nodes: readonly SoakNode[], checker: InvariantChecker, random: Random, signal: AbortSignal) {
        this.runsByPart.set(crashingBody, []);
        while (!signal.aborted) {
            await sleep(2 * requestIntervalMs * (0.5 + random()), signal);
            const node = pick(nodes.filter(({ isReady }) => isReady), random);
            if (node) {
                const req = { id: `${crashingBody}-${++this.requestCount}`, path: "/again/", mayRepeat: true, isStream: false };
                this.nodeByRequest.set(req.id, node);
                checker.onUncountedRequest(req);
                sendOne(node, req, {}, crashingBody, checker);
            }
        }
    }

    /** Violations of the bound on requests after a crash that all nodes must know. */
    violations(): readonly string[] {
        return [...this.runsByPart].flatMap(([part, runs]) => {
            const toleratedCrashes = part === crashingBody ? toleratedRequestCrashes : toleratedPartCrashes;
            const knownAt = (runs[toleratedCrashes - 1]?.at ?? Number.POSITIVE_INFINITY) + contactMs;
            const late = runs.filter(({ at, isCounted }) => isCounted && at > knownAt).length;
            return late > maxLateRequests ? [`${late} requests with ${part} reached runners after it was known, ${runs.length} in all`] : [];
        });
    }
}

const sendOne = (node: SoakNode, soakRequest: SoakRequest, prompt: Readonly<Record<string, string>>, content: string, checker: InvariantChecker): void => {
    const { id, path } = soakRequest;
    const [host, port] = node.callerAddress.split(":");
    const headers = { host: "shop.example", "attempt-id": id, "deadline-ms": "3000", ...prompt };
    const req = request({ host, port, method: "POST", path: `${path}x`, headers, agent: false }, res => {
        let body = "";
        res.setEncoding("utf8");
        res.on("data", (text: string) => body += text);
        res.on("error", () => undefined);
        res.on("close", () => checker.onAnswer(soakRequest, res.statusCode!, body, res.complete));
    });
    req.on("error", () => undefined);
    req.end(content);
};
