import { Agent, request } from "node:http";
import type { Random } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";

/** What became of a caller's request. */
export enum SteadyOutcome {
    Served = "served",
    /** Refused with a promise that it has not run. */
    Refused = "refused",
    /** Answered with another status, or its connection ended. */
    Failed = "failed",
    /** Not answered by its deadline. */
    Late = "late",
}

/** A caller's request that has ended. Times are on the monotonic clock. */
export interface SteadyCall {
    readonly id: string;
    readonly path: string;
    readonly sentAt: number;
    readonly afterMs: number;
    readonly outcome: SteadyOutcome;
    readonly status: number | undefined;
    /** Time after which a refused caller may come again. */
    readonly retryAfterMs: number | undefined;
}

/** Requests that arrive at random times, at a rate that does not depend on the answers. */
export interface SteadyLoad {
    readonly front: string;
    readonly name: string;
    readonly perSecond: number;
    readonly paths: readonly string[];
    readonly deadlineMs: number;
    readonly random: Random;
    readonly signal: AbortSignal;
}

/** Statuses of a node's answer that promise that the request has not run. */
const refusals: ReadonlySet<number | undefined> = new Set([408, 421, 429, 503]);

const call = (front: string, path: string, id: string, deadlineMs: number, agent: Agent): Promise<SteadyCall> => {
    const sentAt = performance.now();
    const [host, port] = front.split(":");
    const headers = { host: "shop.example", "attempt-id": id, "deadline-ms": deadlineMs };
    return new Promise(resolve => {
        const finish = (outcome: SteadyOutcome, status?: number, retryAfter?: string): void => {
            clearTimeout(deadline);
            const retryAfterMs = retryAfter === undefined ? undefined : Number(retryAfter) * 1_000;
            resolve({ id, path, sentAt, afterMs: performance.now() - sentAt, outcome, status, retryAfterMs });
        };
        const req = request({ host, port, method: "POST", path, headers, agent }, res => {
            const chunks: Buffer[] = [];
            res.on("data", (chunk: Buffer) => chunks.push(chunk));
            res.on("error", () => finish(SteadyOutcome.Failed));
            res.on("end", () => {
                const isServed = res.statusCode === 200 && Buffer.concat(chunks).toString() === `done ${id}`;
                const isRefused = refusals.has(res.statusCode);
                const outcome = isServed ? SteadyOutcome.Served : isRefused ? SteadyOutcome.Refused : SteadyOutcome.Failed;
                finish(outcome, res.statusCode, res.headers["retry-after"]);
            });
        });
        const deadline = setTimeout(() => {
            finish(SteadyOutcome.Late);
            req.destroy();
        }, deadlineMs);
        req.on("error", () => finish(SteadyOutcome.Failed));
        // Requests with the same body would be suspected of the crashes.
        req.end(id);
    });
};

/** Sends requests until the signal aborts; returns all calls once they have ended. */
export const runSteadyLoad = async ({ front, name, perSecond, paths, deadlineMs, random, signal }: SteadyLoad): Promise<readonly SteadyCall[]> => {
    const agent = new Agent({ keepAlive: true });
    const calls: Promise<SteadyCall>[] = [];
    let dueAt = performance.now();
    while (!signal.aborted) {
        dueAt += -Math.log(1 - random()) * 1_000 / perSecond;
        await sleep(Math.max(0, dueAt - performance.now()), signal);
        if (!signal.aborted) {
            const path = paths[Math.floor(random() * paths.length)]!;
            calls.push(call(front, path, `${name}-${calls.length}`, deadlineMs, agent));
        }
    }
    const ended = await Promise.all(calls);
    agent.destroy();
    return ended;
};

/** How many calls had each outcome. */
export const countOutcomes = (calls: readonly SteadyCall[]): Readonly<Record<SteadyOutcome, number>> => {
    const count = (outcome: SteadyOutcome): number => calls.filter(other => other.outcome === outcome).length;
    return {
        [SteadyOutcome.Served]: count(SteadyOutcome.Served),
        [SteadyOutcome.Refused]: count(SteadyOutcome.Refused),
        [SteadyOutcome.Failed]: count(SteadyOutcome.Failed),
        [SteadyOutcome.Late]: count(SteadyOutcome.Late),
    };
};

/** Outcomes in one line, with the time that 95 in 100 refusals took at most, and the statuses of what failed. */
export const describeCalls = (calls: readonly SteadyCall[]): string => {
    const refused = calls.filter(({ outcome }) => outcome === SteadyOutcome.Refused);
    const times = refused.map(({ afterMs }) => afterMs).sort((a, b) => a - b);
    const withTime = refused.filter(({ retryAfterMs }) => retryAfterMs !== undefined).length;
    const inTime = `${refused.length} (in ${Math.round(times[Math.floor(0.95 * times.length)] ?? 0)} ms, ${withTime} with Retry-After)`;
    const { served, late, failed } = countOutcomes(calls);
    const statuses = calls.filter(({ outcome }) => outcome === SteadyOutcome.Failed).map(({ status }) => status ?? "none");
    const byStatus = [...new Set(statuses)].map(status => `${statuses.filter(other => other === status).length} with ${status}`);
    return `served ${served}, refused ${inTime}, late ${late}, failed ${failed}${byStatus.length > 0 ? ` (${byStatus.join(", ")})` : ""}`;
};
