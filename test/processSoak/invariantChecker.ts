import type { RunnerOrder } from "../../src/types/runner";
import { StreamRuns } from "./streamRuns";
import { UpstreamWords } from "./upstreamWords";

/** A request of a caller. */
export interface SoakRequest {
    readonly id: string;
    readonly path: string;
    readonly mayRepeat: boolean;
    readonly isStream: boolean;
    /** Whether its caller aborts it: it need not be served then. */
    readonly isAborted?: boolean;
    /** The first event that it asks for, if it takes a stream up. */
    readonly fromEvent?: number;
}

/** Statuses that guarantee that a request has not run and will not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Shortest allowed time between the orders of two holders to one runner, and for how long a holder's orders are ignored after it resumes. */
const minHolderGapMs = 3_000;
const resumeGraceMs = 300;

interface ReceivedOrder {
    readonly at: number;
    readonly order: RunnerOrder;
}

/** Records what callers and runners observe, and detects violations of the guarantees that they rely on. */
export class InvariantChecker {
    readonly violations: string[] = [];
    readonly streamRuns = StreamRuns.create();
    readonly words = UpstreamWords.create();
    servedCount = 0;
    requestCount = 0;
    private readonly runnersByRequest = new Map<string, string[]>();
    private readonly brokenOff = new Set<string>();
    private readonly refusalStatuses = new Map<string, number>();
    private readonly requests = new Map<string, SoakRequest>();
    private readonly orders = new Map<string, ReceivedOrder[]>();
    private readonly resumedAt = new Map<string, number>();

    private constructor() {}

    static create(): InvariantChecker {
        return new InvariantChecker();
    }

    onRequest(req: SoakRequest): void {
        this.requests.set(req.id, req);
        this.requestCount += req.isAborted ? 0 : 1;
    }

    /** Records a request that need not be served: runners crash on it, or it takes a stream up. */
    onUncountedRequest(req: SoakRequest): void {
        this.requests.set(req.id, req);
    }

    onRun(id: string, runner: string): void {
        this.runnersByRequest.set(id, [...this.runnersByRequest.get(id) ?? [], runner]);
        if (!this.requests.has(id)) {
            this.violations.push(`${runner} ran ${id}, which no caller sent`);
        }
    }

    /** Records that an upstream ended with the request, or broke its answer off. */
    onBrokenOff(id: string): void {
        this.brokenOff.add(id);
    }

    wasBrokenOff(id: string): boolean {
        return this.brokenOff.has(id);
    }

    hasRun(id: string): boolean {
        return this.runnersByRequest.has(id);
    }

    onAnswer(req: SoakRequest, status: number, body: string, isComplete: boolean): void {
        if (notRunStatuses.has(status)) {
            this.refusalStatuses.set(req.id, status);
        }
        if (status === 200 && isComplete) {
            this.words.onPassedOn(req.id);
            this.servedCount += req.isAborted || req.fromEvent !== undefined ? 0 : 1;
            this.checkBody(req, body);
        }
    }

    onOrder(runner: string, order: RunnerOrder): void {
        const resumedAt = this.resumedAt.get(order.holder);
        if (resumedAt !== undefined && performance.now() - resumedAt < resumeGraceMs) {
            // It was on its way when its sender was paused: the platform does not count it, neither as the later nor as the earlier order.
            return;
        }
        this.orders.set(runner, [...this.orders.get(runner) ?? [], { at: performance.now(), order }]);
    }

    /** Records that a paused node resumes: its orders just after that are ignored. */
    onResume(holder: string): void {
        this.resumedAt.set(holder, performance.now());
    }

    /** Checks runs and orders at the end of the run, because a request may have run after its refusal. */
    checkAtEnd(): readonly string[] {
        for (const [id, runners] of this.runnersByRequest) {
            const req = this.requests.get(id);
            if (req && !req.mayRepeat && runners.length > 1) {
                this.violations.push(`${id} (${req.path}) ran at ${runners.join(", ")}`);
            }
            if (req && !req.mayRepeat && this.refusalStatuses.has(id)) {
                this.violations.push(`${id} (${req.path}) was answered ${this.refusalStatuses.get(id)} and ran at ${runners.join(", ")}`);
            }
        }
        this.orders.forEach((orders, runner) => this.checkOrders(runner, orders));
        this.violations.push(...this.streamRuns.violations, ...this.words.violations);
        return this.violations;
    }

    private checkBody({ id, isStream, fromEvent = 1 }: SoakRequest, body: string): void {
        const expected = isStream ? streamBody(id, fromEvent) : `${id} done`;
        if (body !== expected) {
            this.violations.push(`${id} received another body than expected: ${JSON.stringify(body.slice(0, 120))}`);
        }
    }

    private checkOrders(runner: string, orders: readonly ReceivedOrder[]): void {
        orders.slice(1).forEach(({ at, order }, index) => {
            const previous = orders[index]!;
            if (order.holder === previous.order.holder) {
                return;
            }
            if (at - previous.at < minHolderGapMs || order.epoch <= previous.order.epoch) {
                const gapMs = Math.round(at - previous.at);
                this.violations.push(
                    `${runner}: order by ${previous.order.holder} (epoch ${previous.order.epoch}), ${gapMs} ms later one by ${order.holder} (epoch ${order.epoch})`,
                );
            }
        });
    }
}

/** Number of events of a stream. */
export const streamEventCount = 6;

/** The bytes that a stream sends from one event on. */
export const streamBody = (id: string, from: number): string =>
    [...Array(streamEventCount - from + 1).keys()].map(offset => `id: ${from + offset}\ndata: ${id} ${from + offset}\n\n`).join("");
