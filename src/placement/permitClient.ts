import { toFailure } from "../core/failures";
import { maySendUnasked } from "../core/generationLoad";
import type { RequestPacer } from "../core/requestPacer";
import { EventId } from "../types/eventId";
import type { Permit, PermitRequest, PlaceRequest, ReturnedPlace } from "../types/sendPermit";
import { emit } from "../utils/events";
import { rankByHashCached } from "../utils/hash";
import { repeat, sleep } from "../utils/time";
import type { PacerNodes } from "./pacerNodes";
import { decodePermit } from "./peerAnswerDecoder";
import type { PeerClients } from "./peerClients";
import { PlaceLedger } from "./placeLedger";
import { PlaceReporter } from "./placeReporter";

/** Interval at which requests in progress without a place are reported. */
const reportIntervalMs = 400;
/** Time for which a peer that did not answer is not asked. */
const failedPeerMs = 2_000;
/** Peers that are asked for one permit, in the order of their rank for the runner. */
const maxAskedPeers = 2;
/**
 * Longest time for which a short prompt of an urgent route waits for an answer about its place, and that time as a share of what is left until its first event is due. An
 * answer within a zone takes 1 to 3 ms.
 */
const maxUrgentWaitMs = 30;
const urgentWaitShare = 0.1;
/** Part of a brittle upstream that a node hands out in place of the first one, which others may still reach. */
const deputyShare = 0.5;

/** This node's requests in progress at a brittle upstream. */
interface RunnerRequests {
    readonly runner: string;
    readonly count: number;
    /** Tokens of the generations among them. */
    readonly tokens?: number;
    /** Tokens without a place below which they need not be told; 0 if all are. */
    readonly minToldTokens?: number;
}

/** Asks for turns and places at runners: at one node for each runner, which all nodes find by rendezvous hashing. */
export class PermitClient {
    private readonly failedUntil = new Map<string, number>();
    private readonly ledger = PlaceLedger.create();
    private readonly reporter: PlaceReporter;
    /** Calls for places by generations, and those that were sent before an answer came, since the start. */
    asked = 0;
    sentUnasked = 0;
    /** Runners for which requests without a place were reported last. */
    private reportedRunners: ReadonlySet<string> = new Set();

    private constructor(private readonly clients: PeerClients, private readonly pacer: RequestPacer, private readonly nodes: () => PacerNodes) {
        this.reporter = PlaceReporter.create(clients, pacer.rooms, () => nodes().self);
    }

    /** Creates a client; the pacer gives the turns and places at the runners that this node paces itself. */
    static create(clients: PeerClients, pacer: RequestPacer, nodes: () => PacerNodes): PermitClient {
        return new PermitClient(clients, pacer, nodes);
    }

    /** Reports this node's requests at brittle upstreams, as `requests` returns them, until the signal aborts. */
    start(requests: () => readonly RunnerRequests[], signal: AbortSignal): void {
        const onFailed = (err: unknown): void => emit(EventId.PeerExchangeFailed, { detail: toFailure(err).detail });
        void repeat(() => Promise.resolve(this.reportRequests(requests())), () => reportIntervalMs, signal, onFailed);
    }

    /** The next turn, or a place, at a runner. A node that reaches none of the pacers paces its own share of the limit. */
    async acquire(req: PermitRequest): Promise<Permit> {
        const { runner, perSecond } = req;
        const { self, addresses } = this.nodes();
        const first = rankByHashCached(runner, addresses)[0];
        for (const address of this.pacersOf(runner).slice(0, maxAskedPeers)) {
            const asked = this.withPlaceOf(req, address, address === first ? 1 : deputyShare);
            if (address === self) {
                return this.record(asked, address, await this.pacer.acquire(asked));
            }
            this.asked += asked.place?.generation ? 1 : 0;
            if (asked.place?.generation && maySendUnasked(asked.place.generation) && asked.place.maxQueueMs === 0) {
                const permit = await this.acquireUrgent(asked, asked.place, address);
                if (permit) {
                    return permit;
                }
                continue;
            }
            try {
                const permit = this.record(asked, address, decodePermit(await this.clients.get(address).permit.mutate(asked)));
                return permit.isGranted && asked.place?.generation && permit.hasTerms !== true ? await this.confirmTerms(asked, asked.place, address) : permit;
            }
            catch (err) {
                this.failedUntil.set(address, performance.now() + failedPeerMs);
                emit(EventId.PeerExchangeFailed, { peer: address, runner, detail: toFailure(err).detail });
                if (asked.place) {
                    // It may have been given all the same.
                    this.reporter.onReturned(address, { runner, id: asked.place.id, isRejected: false });
                }
            }
        }
        const nodeCount = Math.max(1, addresses.length);
        const own = this.withPlaceOf({ ...req, perSecond: perSecond === undefined ? undefined : perSecond / nodeCount }, self, 1 / nodeCount);
        return this.record(own, self, await this.pacer.acquire(own));
    }

    /**
     * Asks for the place of a short prompt of an urgent route, for which a late answer is as bad as none: it has the place at once if the runner is known to have room, and
     * otherwise if no answer comes in time.
     */
    private async acquireUrgent(req: PermitRequest, place: PlaceRequest, address: string): Promise<Permit | undefined> {
        const { runner } = req;
        const granted: Permit = { isGranted: true, waitMs: 0 };
        this.ledger.add(place.id, { runner, address, tokens: place.generation?.tokens });
        const answer = this.askUrgent(req, place, address);
        if (place.generation?.isSent === true) {
            return granted;
        }
        const waitMs = Math.max(0, Math.min(maxUrgentWaitMs, urgentWaitShare * place.dueInMs));
        const late = new AbortController();
        let isLate = false;
        const permit = await Promise.race([answer, sleep(waitMs, late.signal).then(() => void (isLate = true))]);
        late.abort();
        if (permit || !isLate) {
            return permit ?? undefined;
        }
        this.sentUnasked++;
        emit(EventId.GenerationSentUnasked, { peer: address, runner, waitedMs: Math.round(waitMs), load: place.load });
        return granted;
    }

    /** The answer about an urgent place; undefined if there is none. A request that was sent meanwhile is reported as one without a place then. */
    private async askUrgent(req: PermitRequest, place: PlaceRequest, address: string): Promise<Permit | undefined> {
        try {
            const permit = decodePermit(await this.clients.get(address).permit.mutate(req));
            if (!permit.isGranted) {
                this.ledger.remove(place.id);
            }
            return permit;
        }
        catch (err) {
            this.failedUntil.set(address, performance.now() + failedPeerMs);
            this.ledger.remove(place.id);
            emit(EventId.PeerExchangeFailed, { peer: address, runner: req.runner, detail: toFailure(err).detail });
            this.reporter.onReturned(address, { runner: req.runner, id: place.id, isRejected: false });
            return undefined;
        }
    }

    /** A node of an earlier release gave a place by slots alone: this node adds its share of the other terms. */
    private async confirmTerms(req: PermitRequest, place: PlaceRequest, address: string): Promise<Permit> {
        const { self, addresses } = this.nodes();
        const { runner } = req;
        const permit = await this.pacer.rooms.take(runner, { ...place, share: 1 / Math.max(1, addresses.length), unplaced: 0 });
        this.ledger.remove(place.id);
        if (permit.isGranted) {
            this.ledger.add(place.id, { runner, address, tokens: place.generation?.tokens, isOwnToo: address !== self });
        }
        else {
            this.reporter.onReturned(address, { runner, id: place.id, isRejected: false });
        }
        return permit;
    }

    /** Gives a place back, or tells of a request without one that was rejected. */
    returnPlace(place: ReturnedPlace): void {
        const known = place.id === undefined ? undefined : this.ledger.remove(place.id);
        const address = known?.address ?? this.pacersOf(place.runner)[0] ?? this.nodes().self;
        this.reporter.onReturned(address, place);
        if (known?.isOwnToo === true) {
            this.reporter.onReturned(this.nodes().self, { ...place, isRejected: false });
        }
    }

    /** Tells the pacers of brittle upstreams which requests are in progress there without a place of theirs. */
    reportRequests(requests: readonly RunnerRequests[]): void {
        const reported = new Set<string>();
        for (const { runner, count, tokens = 0, minToldTokens = 0 } of requests) {
            const address = this.pacersOf(runner)[0] ?? this.nodes().self;
            const unplacedTokens = Math.max(0, tokens - this.ledger.tokensOf({ runner, address }));
            const unplaced = unplacedTokens < minToldTokens ? 0 : Math.max(0, count - this.ledger.countOf({ runner, address }));
            if (unplaced > 0) {
                reported.add(runner);
            }
            if (unplaced > 0 || this.reportedRunners.has(runner)) {
                this.reporter.onUnplaced(address, runner, unplaced, unplaced > 0 ? unplacedTokens : 0);
            }
        }
        this.reportedRunners = reported;
    }

    /** The nodes that may pace a runner, in their order, without those that failed lately. */
    private pacersOf(runner: string): readonly string[] {
        const now = performance.now();
        return rankByHashCached(runner, this.nodes().addresses).filter(address => (this.failedUntil.get(address) ?? 0) <= now);
    }

    private withPlaceOf(req: PermitRequest, address: string, share: number): PermitRequest {
        const { runner, place } = req;
        if (!place) {
            return req;
        }
        const { generation } = place;
        const unplacedTokens = Math.max(0, (generation?.unplacedTokens ?? 0) - this.ledger.tokensOf({ runner, address }));
        const unplaced = Math.max(0, place.unplaced - this.ledger.countOf({ runner, address }));
        return { ...req, place: { ...place, share, unplaced, generation: generation && { ...generation, unplacedTokens } } };
    }

    private record({ runner, place }: PermitRequest, address: string, permit: Permit): Permit {
        if (place && permit.isGranted) {
            this.ledger.add(place.id, { runner, address, tokens: place.generation?.tokens });
        }
        return permit;
    }
}
