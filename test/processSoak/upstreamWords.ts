import type { Random } from "../../src/utils/random";
import { pick } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import { LinkFault } from "./faultProxy";
import type { SoakFleet } from "./soakFleet";
import type { SoakUpstream } from "./soakUpstream";

/** A request that its caller sends later than this after the node passed on that an upstream is leaving must not reach the upstream. */
const drainMs = 2_500;
/** From this time after an upstream asked a node for quiet, at most so many requests of the node reach it before the end. */
const quietSlackMs = 500;
const maxQuietArrivals = 2;
/** A row may be changed this long before its upstream says that it is leaving. */
const rowLeadMs = 300;
/** A leaving upstream serves for this long after nodes must have stopped sending to it. */
const servedOnMs = 2_500;
const shortestQuietMs = 300;
const longestQuietMs = 4_000;
const allQuietShare = 0.25;
const leavingShare = 0.4;

/** The node that a request was sent to, as far as the rules see it. */
export interface ObservedNode {
    readonly name: string;
    /** When it was last started, stopped or paused, and when its store was last cut off, on the monotonic clock. */
    readonly disturbedAt: number;
    readonly cutAt: number;
}

interface SentRequest {
    readonly node: ObservedNode;
    readonly at: number;
}

/** A time for which an upstream asked a node for no requests. */
interface QuietRequest {
    readonly node: ObservedNode;
    readonly at: number;
    readonly ms: number;
    arrivals: number;
}

/** What upstreams say of their leaving and of quiet times, and the checks that nodes act on it. */
export class UpstreamWords {
    readonly violations: string[] = [];
    private readonly sent = new Map<string, SentRequest>();
    /** Upstream that gave the last answer to a request, if that says that it is leaving. */
    private readonly leavingByRequest = new Map<string, string>();
    /** When a node passed on that an upstream is leaving, by both. */
    private readonly passedOnAt = new Map<string, number>();
    private readonly quiet = new Map<string, QuietRequest[]>();
    private isEnded = false;

    private constructor() {}

    static create(): UpstreamWords {
        return new UpstreamWords();
    }

    /** Records to which node a caller sends a request. */
    onRequest(id: string, node: ObservedNode): void {
        this.sent.set(id, { node, at: performance.now() });
    }

    /** Records and judges a request that reached an upstream. */
    onArrival(upstream: string, id: string): void {
        const request = this.sent.get(id);
        if (!request) {
            return;
        }
        const { node, at: sentAt } = request;
        const passedOnAt = this.passedOnAt.get(`${upstream} ${node.name}`);
        if (passedOnAt !== undefined && node.disturbedAt < passedOnAt && sentAt > passedOnAt + drainMs) {
            this.violations.push(
                `${upstream} got ${id} of ${node.name}, sent ${Math.round(sentAt - passedOnAt)} ms after ${node.name} passed on that it is leaving`,
            );
        }
        const now = performance.now();
        for (const entry of this.quiet.get(`${upstream} ${node.name}`) ?? []) {
            const isCounted = now > entry.at + quietSlackMs && now < entry.at + entry.ms && Math.max(node.disturbedAt, node.cutAt) < entry.at;
            if (isCounted && ++entry.arrivals === maxQuietArrivals + 1) {
                this.violations.push(
                    `${upstream} got ${entry.arrivals} requests of ${node.name}, ${id} ${Math.round(now - entry.at)} ms after it asked for ${
                        Math.round(entry.ms)
                    } ms of quiet`,
                );
            }
        }
    }

    /** Records whether the upstream that answers a request says that it is leaving. */
    onAnswered(upstream: string, id: string, isLeaving: boolean): void {
        if (isLeaving) {
            this.leavingByRequest.set(id, upstream);
        }
        else {
            this.leavingByRequest.delete(id);
        }
    }

    /** Records that an upstream asked the node of a request for quiet, over a link that loses nothing. */
    onQuietAsked(upstream: string, id: string, ms: number): void {
        const request = this.sent.get(id);
        if (request) {
            const key = `${upstream} ${request.node.name}`;
            this.quiet.set(key, [...this.quiet.get(key) ?? [], { node: request.node, at: performance.now(), ms, arrivals: 0 }]);
        }
    }

    /** Records that a caller has received the complete answer to its request. */
    onPassedOn(id: string): void {
        const upstream = this.leavingByRequest.get(id);
        const request = this.sent.get(id);
        if (upstream !== undefined && request) {
            const key = `${upstream} ${request.node.name}`;
            this.passedOnAt.set(key, this.passedOnAt.get(key) ?? performance.now());
        }
    }

    /** Upstreams say nothing new of the kind from now on, and quiet times end before the recovery does; all requests must be served again after recovery. */
    end(): void {
        this.isEnded = true;
    }

    /** Lets upstreams leave and ask for quiet, alone and all together, until the end. */
    async run(fleet: SoakFleet, random: Random): Promise<void> {
        const leaves: Promise<void>[] = [];
        while (!this.isEnded) {
            await sleep(500 + 1_200 * random());
            if (random() < leavingShare) {
                leaves.push(this.leave(fleet, random));
            }
            else {
                const until = performance.now() + shortestQuietMs + (longestQuietMs - shortestQuietMs) * random() ** 2;
                const upstreams = random() < allQuietShare ? fleet.all() : [pick(fleet.all(), random)!];
                // One node may know of a shorter time that another one has not heard of: no time is shortened.
                upstreams.forEach(upstream => upstream.quietUntil = Math.max(upstream.quietUntil, until));
            }
        }
        await Promise.all(leaves);
    }

    /** An upstream says that it is leaving, with its row changed before, at the same time or never, and serves on for a while. */
    private async leave(fleet: SoakFleet, random: Random): Promise<void> {
        const upstream = fleet.pickReady();
        const row = pick(["before", "with", "without"], random);
        if (!upstream || this.isEnded) {
            return;
        }
        upstream.isWithdrawn = true;
        await fleet.add(upstream.service);
        if (row !== "without") {
            upstream.leavingSince = performance.now();
            fleet.writeRow(upstream);
        }
        await sleep(row === "before" ? rowLeadMs : 0);
        upstream.saysLeaving = true;
        await sleep(drainMs + servedOnMs);
        fleet.remove(upstream);
    }
}

/** Whether what an upstream answers now reaches the node: a link that drops or resets bytes cuts the node off from it. */
export const isLinkSound = ({ proxy }: SoakUpstream): boolean => proxy.fault === LinkFault.None || proxy.fault === LinkFault.Delay;
