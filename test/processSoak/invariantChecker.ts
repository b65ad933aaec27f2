import type { RunnerOrder } from "../../src/types/runner";

/** A request as callers make it. */
export interface SoakRequest {
    readonly id: string;
    readonly path: string;
    readonly mayRepeat: boolean;
    readonly isStream: boolean;
}

/** Statuses that promise that a request has not run and will not run. */
const promisesNotRun: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Least time between the orders of two holders to one runner, and how long after it woke a holder's orders do not count. */
const turnGapMs = 3_000;
const thawMs = 300;

interface SeenOrder {
    readonly at: number;
    readonly order: RunnerOrder;
}

/** Notes what callers and runners see, and finds the promises that were broken. */
export class InvariantChecker {
    readonly violations: string[] = [];
    servedCount = 0;
    requestCount = 0;
    private readonly runs = new Map<string, string[]>();
    private readonly refused = new Map<string, number>();
    private readonly requests = new Map<string, SoakRequest>();
    private readonly orders = new Map<string, SeenOrder[]>();
    private readonly wokenAt = new Map<string, number>();

    private constructor() {}

    static create(): InvariantChecker {
        return new InvariantChecker();
    }

    onRequest(req: SoakRequest): void {
        this.requests.set(req.id, req);
        this.requestCount++;
    }

    onRun(id: string, runner: string): void {
        this.runs.set(id, [...this.runs.get(id) ?? [], runner]);
        if (!this.requests.has(id)) {
            this.violations.push(`${runner} ran ${id}, which nobody asked for`);
        }
    }

    onAnswer(req: SoakRequest, status: number, body: string, isWhole: boolean): void {
        if (promisesNotRun.has(status)) {
            this.refused.set(req.id, status);
        }
        if (status === 200 && isWhole) {
            this.servedCount++;
            this.checkBody(req, body);
        }
    }

    onOrder(runner: string, order: RunnerOrder): void {
        this.orders.set(runner, [...this.orders.get(runner) ?? [], { at: performance.now(), order }]);
    }

    /** Notes that a paused node goes on: its orders of the next moment do not count. */
    onResume(holder: string): void {
        this.wokenAt.set(holder, performance.now());
    }

    /** Looks at everything once more at the end: a request may have run after its refusal. */
    checkAtEnd(): readonly string[] {
        for (const [id, runners] of this.runs) {
            const req = this.requests.get(id);
            if (req && !req.mayRepeat && runners.length > 1) {
                this.violations.push(`${id} (${req.path}) ran at ${runners.join(", ")}`);
            }
            if (req && !req.mayRepeat && this.refused.has(id)) {
                this.violations.push(`${id} (${req.path}) was answered ${this.refused.get(id)} and ran at ${runners.join(", ")}`);
            }
        }
        this.orders.forEach((orders, runner) => this.checkOrders(runner, orders));
        return this.violations;
    }

    private checkBody({ id, isStream }: SoakRequest, body: string): void {
        const expected = isStream ? streamBody(id, 1) : `${id} done`;
        if (body !== expected) {
            this.violations.push(`${id} got ${JSON.stringify(body.slice(0, 120))}`);
        }
    }

    private checkOrders(runner: string, orders: readonly SeenOrder[]): void {
        orders.slice(1).forEach(({ at, order }, index) => {
            const previous = orders[index]!;
            const woken = this.wokenAt.get(order.holder);
            if (order.holder === previous.order.holder || (woken !== undefined && at >= woken && at - woken < thawMs)) {
                return;
            }
            if (at - previous.at < turnGapMs || order.epoch <= previous.order.epoch) {
                const gapMs = Math.round(at - previous.at);
                this.violations.push(`${runner}: ${previous.order.holder} (${previous.order.epoch}), ${gapMs} ms later ${order.holder} (${order.epoch})`);
            }
        });
    }
}

/** Events of a stream. */
export const streamEventCount = 6;

/** What a stream sends from one event on. */
export const streamBody = (id: string, from: number): string =>
    [...Array(streamEventCount - from + 1).keys()].map(at => `id: ${from + at}\ndata: ${id} ${from + at}\n\n`).join("");
