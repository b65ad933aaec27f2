import type { Random } from "../../src/utils/random";
import { pick } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import type { SoakNode } from "./soakNode";
import type { SoakUpstream } from "./soakUpstream";

/** From this time after a limit was first named, nodes in contact send at most so many requests in each window. */
const contactMs = 3_000;
const windowMs = 4_000;
const maxOfWindow = (perSecond: number): number => 1.5 * perSecond * windowMs / 1_000 + 5;
const limitsPerS = [0.5, 1, 3];

interface NamedLimit {
    readonly perSecond: number;
    /** When an answer first named it, on the monotonic clock. */
    namedAt?: number;
    readonly arrivals: number[];
}

/** Runners that name a limit for some time, and the check that nodes keep it together. */
export class NamedLimits {
    private readonly limits = new Map<string, NamedLimit>();
    private readonly nodeByRequest = new Map<string, SoakNode>();

    private isEnded = false;

    private constructor() {}

    static create(): NamedLimits {
        return new NamedLimits();
    }

    /** Records to which node a caller sends a request. */
    onRequest(id: string, node: SoakNode): void {
        this.nodeByRequest.set(id, node);
    }

    /** The node that a caller sent a request to. */
    nodeOf(id: string): SoakNode | undefined {
        return this.nodeByRequest.get(id);
    }

    /** Records a request that reached a runner; returns the limit that its answer names. */
    onArrival(runner: string, id: string): number | undefined {
        const limit = this.limits.get(runner);
        const at = performance.now();
        if (limit && !this.isEnded && (this.nodeByRequest.get(id)?.checksSuspendedUntil ?? at) < at) {
            limit.arrivals.push(at);
        }
        return this.isEnded ? undefined : limit?.perSecond;
    }

    /** Records that an answer with the limit was sent. */
    onNamed(runner: string): void {
        const limit = this.limits.get(runner);
        if (limit) {
            limit.namedAt ??= performance.now();
        }
    }

    /** Runners name no limits from now on; all requests must be served again after recovery. */
    end(): void {
        this.isEnded = true;
    }

    /** Lets runners name limits, one after the other, until the end. */
    async run(all: () => readonly SoakUpstream[], random: Random): Promise<void> {
        while (!this.isEnded) {
            await sleep(2_000 + 3_000 * random());
            const runner = pick(all().filter(({ id, isGone, simulatedRunner }) => simulatedRunner && !isGone && !this.limits.has(id)), random);
            // Some runners stay without a limit, so that the models remain reachable.
            if (runner && all().filter(({ id }) => this.limits.has(id)).length < 2) {
                this.limits.set(runner.id, { perSecond: pick(limitsPerS, random)!, arrivals: [] });
            }
        }
    }

    violations(): readonly string[] {
        return [...this.limits].flatMap(([runner, { perSecond, namedAt = Number.POSITIVE_INFINITY, arrivals }]) => {
            const counted = arrivals.filter(at => at > namedAt + contactMs);
            const most = Math.max(0, ...counted.map(from => counted.filter(at => at >= from && at < from + windowMs).length));
            return most > maxOfWindow(perSecond) ? [`${runner} got ${most} requests in ${windowMs} ms, allowed ${maxOfWindow(perSecond)}`] : [];
        });
    }
}
