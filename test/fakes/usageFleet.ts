import { UsageCounters } from "../../src/core/usageCounters";
import type { PeerClients } from "../../src/placement/peerClients";
import { UsageService } from "../../src/placement/usageService";
import type { CustomerSpec, UsageLimit } from "../../src/types/customer";
import type { PeerNode } from "../../src/types/peerNode";
import type { PeerPermitRequest, Permit, PlaceReport } from "../../src/types/sendPermit";
import type { UsageAnswer } from "../../src/types/usageAnswer";
import type { UsageBounds } from "../../src/types/usageBounds";
import type { UsageCharge } from "../../src/types/usageCharge";
import { readClocks } from "../../src/utils/clockReading";
import { ownerOf } from "../../src/utils/hash";
import type { Random } from "../../src/utils/random";
import { createRandom, pick } from "../../src/utils/random";
import { UsageCalls } from "./usageCalls";

export const customer = "acme";
const linkMs = 2;
const callTimeoutMs = 700;
const reportIntervalMs = 400;
const nodeTtlMs = 5_000;
const zones = ["a", "b", "c"];
const msPerSecond = 1_000;

export interface UsageFleetTerms {
    readonly nodeCount: number;
    readonly limit: UsageLimit;
    readonly bounds: UsageBounds;
}

interface UsageFleetNode {
    readonly peer: PeerNode;
    service: UsageService;
    counters: UsageCounters;
    config: { readonly version: number; readonly customers: readonly CustomerSpec[]; };
    isEnded: boolean;
    /** The list of nodes that it was told last. */
    listed: string;
    /** Whether its release knows no usage limits. */
    isOfLastRelease: boolean;
}

/** Nodes that charge the requests of one customer, in simulated time. The first live node is the controller. */
export class UsageFleet {
    readonly nodes: UsageFleetNode[] = [];
    readonly calls: UsageCalls;
    /** Calls between nodes: charges and returns. */
    permitCalls = 0;
    returnedEntries = 0;
    /** Whether a node holds the lease, which takes the store. */
    hasController = true;
    /** Time that a message between nodes takes. */
    delayMs = linkMs;
    /** Whether a message between two nodes is lost. */
    isCut: (from: PeerNode, to: PeerNode) => boolean = () => false;
    private readonly random: Random;
    private readonly reportedAt = new Map<string, number>();
    private configVersion = 1;
    private limit: UsageLimit;

    private constructor(private readonly terms: UsageFleetTerms) {
        this.random = createRandom(terms.nodeCount);
        this.limit = terms.limit;
        this.calls = UsageCalls.create(terms.bounds.windowMs);
        for (let index = 0; index < terms.nodeCount; index++) {
            this.add(index);
        }
        const report = (): void => {
            this.report();
            setTimeout(report, reportIntervalMs);
        };
        report();
        // A second round tells all nodes the whole list.
        this.report();
    }

    static create(terms: UsageFleetTerms): UsageFleet {
        return new UsageFleet(terms);
    }

    /** The home node of the customer among the live nodes. */
    get home(): UsageFleetNode {
        const live = this.nodes.filter(({ isEnded }) => !isEnded);
        const address = ownerOf(customer, live.map(({ peer }) => peer.address).sort());
        return live.find(({ peer }) => peer.address === address)!;
    }

    isHome({ peer }: UsageFleetNode): boolean {
        return this.home.peer.address === peer.address;
    }

    /** Units that the rule allows in a window. */
    ruleOf({ perSecond, burst }: UsageLimit = this.limit): number {
        const { windowMs, overrun, slack } = this.terms.bounds;
        return (perSecond * windowMs / msPerSecond + burst) * (1 + overrun) + slack;
    }

    /** Publishes a version with another limit; all nodes learn of it within a time. */
    setLimit(limit: UsageLimit, withinMs = 0): void {
        this.limit = limit;
        const version = ++this.configVersion;
        for (const node of this.nodes) {
            const apply = (): void => {
                node.config = { version, customers: this.customers };
                node.service.onConfig();
            };
            if (withinMs === 0) {
                apply();
            }
            else {
                setTimeout(apply, withinMs * this.random());
            }
        }
    }

    /** Adds a node; with `index` of one that is there, replaces it by a new process. */
    add(index: number): UsageFleetNode {
        const peer = { address: `10.0.${Math.floor(index / 250)}.${index % 250}:1`, zone: zones[index % zones.length]!, cores: 1 };
        const counters = UsageCounters.create();
        const { windowMs, overrun, slack } = this.terms.bounds;
        const host = {
            settings: { usageWindowMs: windowMs, usageOverrun: overrun, usageSlack: slack },
            get config() {
                return node.config;
            },
            usage: counters,
            random: createRandom(index),
        };
        const node: UsageFleetNode = {
            peer,
            counters,
            config: { version: this.configVersion, customers: this.customers },
            isEnded: false,
            listed: "",
            isOfLastRelease: false,
            service: UsageService.create(host, this.clientsOf(peer), { self: peer, nodes: [peer], isFleetKnown: false }),
        };
        this.nodes[index] = node;
        node.service.onConfig();
        return node;
    }

    /** Replaces all nodes by new processes. */
    restart(): void {
        [...this.nodes.keys()].forEach(index => this.add(index));
    }

    end(node: UsageFleetNode): void {
        node.isEnded = true;
    }

    /** Sends requests for a time, spread over all nodes at random: a number in a second, of some units each. */
    runLoad(perSecond: number, units: number, ms: number): void {
        const endsAt = performance.now() + ms;
        const arrive = (): void => {
            const node = pick(this.nodes.filter(({ isEnded }) => !isEnded), this.random);
            if (node) {
                void this.request(node, units);
            }
            const pauseMs = -Math.log(1 - this.random()) * msPerSecond / perSecond;
            if (performance.now() + pauseMs < endsAt) {
                setTimeout(arrive, pauseMs);
            }
        };
        arrive();
    }

    /** Charges one request and lets time pass until it is answered. */
    async requestWith(run: (ms: number) => Promise<void>, node: UsageFleetNode, units: number): Promise<UsageAnswer> {
        const answer = this.request(node, units);
        await run(2_000);
        return answer;
    }

    /** Charges one request. */
    async request(node: UsageFleetNode, units: number): Promise<UsageAnswer> {
        const at = performance.now();
        const charge = this.chargeOf(node, units);
        const answer = await node.service.charge(charge);
        this.calls.add({ at, endedAt: performance.now(), node: node.peer.address, units, answer });
        return answer;
    }

    chargeOf({ config }: UsageFleetNode, units: number): UsageCharge {
        const { perSecond, burst } = config.customers[0]!.limit!;
        return { customer, units, perSecond, burst, configVersion: config.version };
    }

    private get customers(): readonly CustomerSpec[] {
        return [{ name: customer, apiKeys: [], limit: this.limit }];
    }

    private clientsOf(from: PeerNode): PeerClients {
        const call = async <T>(address: string, answer: (to: UsageFleetNode) => Promise<T> | T): Promise<T> => {
            const to = this.nodes.find(({ peer }) => peer.address === address);
            const isLost = (): boolean => !to || to.isEnded || this.isCut(from, to.peer);
            await new Promise(resolve => setTimeout(resolve, isLost() ? callTimeoutMs : this.delayMs));
            if (isLost()) {
                throw new Error("ETIMEDOUT");
            }
            const result = await answer(to!);
            await new Promise(resolve => setTimeout(resolve, this.delayMs));
            return result;
        };
        const permit = (address: string, { usage }: PeerPermitRequest): Promise<Permit> => {
            this.permitCalls++;
            return call(
                address,
                async ({ service, isOfLastRelease }) =>
                    isOfLastRelease || !usage ? { isGranted: true, waitMs: 0 } : { isGranted: true, waitMs: 0, usage: await service.answer(usage) },
            );
        };
        const places = (address: string, { usage = [] }: PlaceReport): Promise<void> => {
            this.returnedEntries += usage.length;
            return call(address, ({ service }) => usage.forEach(returned => service.giveBack(returned)));
        };
        const get = (address: string): unknown => ({
            permit: { mutate: (req: PeerPermitRequest) => permit(address, req) },
            places: { mutate: (report: PlaceReport) => places(address, report) },
        });
        return { get } as unknown as PeerClients;
    }

    /** All nodes report: to the controller if they reach it, else to some peer. */
    private report(): void {
        const now = performance.now();
        const live = this.nodes.filter(({ isEnded }) => !isEnded);
        const controller = this.hasController ? live[0] : undefined;
        for (const node of live) {
            const { peer, service } = node;
            if (controller && (controller === node || !this.isCut(peer, controller.peer))) {
                this.reportedAt.set(peer.address, now);
                const known = this.nodes.map(other => other.peer).filter(({ address }) => now - (this.reportedAt.get(address) ?? -nodeTtlMs) < nodeTtlMs);
                const listed = known.map(({ address }) => address).join(" ");
                // As the controller does, the list is told only if it has changed.
                if (node.listed !== listed) {
                    node.listed = listed;
                    service.setNodes({ self: peer, nodes: known, isFleetKnown: true });
                }
                service.onController(readClocks(), 0);
            }
            const other = pick(live, this.random)!;
            if (other !== node && !this.isCut(peer, other.peer)) {
                service.onPeer(other.peer.address, readClocks());
                other.service.onReport(peer.zone);
            }
        }
    }
}
