import type { Random } from "../../src/utils/random";
import { pick } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import type { BrittleFall, BrittleTime } from "../fakes/brittleJudge";
import { judgeBrittleTime } from "../fakes/brittleJudge";
import type { SoakFleet } from "./soakFleet";
import type { SoakNode } from "./soakNode";
import type { SoakUpstream } from "./soakUpstream";

/** From this time after upstreams became brittle, they have less room, and too many rejections end them. */
const contactMs = 3_000;
const secondMs = 1_000;
const services = ["desk", "engines"];
const allowedRejectionsPerS = [1, 2, 4];
/** Requests at a time that a brittle upstream takes once it may take fewer. */
const brittleRoom = 2;
const minPauseMs = 1_500;
const extraPauseMs = 3_000;
const minBrittleMs = 5_000;
const extraBrittleMs = 3_000;

/** A time in which a service's upstreams are brittle, and the rejections that each is to bear in a second. */
interface CurrentTime {
    readonly service: string;
    readonly from: number;
    readonly allowedPerS: number;
}

/** Times in which the upstreams of a service are brittle, one after the other, and the check that nodes do not make them fall over. */
export class BrittleTimes {
    private current: CurrentTime | undefined;
    private readonly times: BrittleTime[] = [];
    private readonly falls: BrittleFall[] = [];
    private readonly rejections = new Map<SoakUpstream, { readonly at: number; readonly id: string; }[]>();
    private readonly inProgress = new Map<SoakUpstream, number>();
    /** Whether the node that sent a request was in contact when that was turned away. */
    private readonly fromNodeInTouch = new Map<string, boolean>();
    private isEnded = false;

    private constructor(private readonly nodeOf: (id: string) => SoakNode | undefined, private readonly onFall: (upstream: SoakUpstream) => Promise<void>) {}

    /** Creates the times before the first one; `nodeOf` returns the node that a caller sent a request to. */
    static create(nodeOf: (id: string) => SoakNode | undefined, onFall: (upstream: SoakUpstream) => Promise<void>): BrittleTimes {
        return new BrittleTimes(nodeOf, onFall);
    }

    /** What all answers of an upstream say. */
    headersOf({ service }: SoakUpstream): Readonly<Record<string, string>> {
        return this.current?.service === service ? { "Server-Brittle": String(this.current.allowedPerS) } : {};
    }

    /** Records a request that reached an upstream; returns whether there is room for it, which it then takes until `onEnd`. */
    onArrival(upstream: SoakUpstream, id: string): boolean {
        const running = this.inProgress.get(upstream) ?? 0;
        const now = performance.now();
        const { current } = this;
        if (current?.service !== upstream.service || now < current.from + contactMs || running < brittleRoom) {
            this.inProgress.set(upstream, running + 1);
            return true;
        }
        this.fromNodeInTouch.set(id, (this.nodeOf(id)?.checksSuspendedUntil ?? now) < now);
        const recent = [...(this.rejections.get(upstream) ?? []).filter(({ at }) => at > now - secondMs), { at: now, id }];
        this.rejections.set(upstream, recent);
        if (recent.length > current.allowedPerS && !upstream.isGone) {
            this.falls.push({ service: upstream.service, upstream: upstream.id, at: now, rejected: recent.map(rejection => rejection.id) });
            void this.onFall(upstream);
        }
        return false;
    }

    /** Records that a request which was taken has ended. */
    onEnd(upstream: SoakUpstream): void {
        this.inProgress.set(upstream, (this.inProgress.get(upstream) ?? 1) - 1);
    }

    /** Upstreams are sound from now on; all requests must be served again after recovery. */
    end(): void {
        this.isEnded = true;
        this.endCurrent(0);
    }

    /** Lets the upstreams of one service after the other be brittle until the end. */
    async run(fleet: SoakFleet, random: Random): Promise<void> {
        while (!this.isEnded) {
            await sleep(minPauseMs + extraPauseMs * random());
            const service = pick(services, random)!;
            const allowedPerS = pick(allowedRejectionsPerS, random)!;
            const ms = minBrittleMs + extraBrittleMs * random();
            const upstreams = fleet.all().filter(upstream => upstream.service === service).length;
            if (!this.isEnded) {
                this.current = { service, allowedPerS, from: performance.now() };
                await sleep(ms);
                this.endCurrent(upstreams);
            }
        }
    }

    violations(): readonly string[] {
        return this.times.flatMap(time => judgeBrittleTime(time, this.falls, id => this.fromNodeInTouch.get(id) ?? false));
    }

    private endCurrent(upstreams: number): void {
        if (this.current) {
            const { service, from } = this.current;
            this.times.push({ service, from, to: performance.now(), upstreams });
            this.current = undefined;
        }
    }
}
