import { EventId } from "../types/eventId";
import { ZoneRefusal } from "../types/zoneRefusal";
import { emit } from "../utils/events";
import { getOrCreate } from "../utils/maps";
import type { Random } from "../utils/random";
import type { UpstreamCandidate } from "./chooseUpstream";
import { ZoneDelays } from "./zoneDelays";
import { ZonePair } from "./zonePair";

/** Time that a request loses by leaving its zone, assumed while it has not been measured, and the least that is counted for it. */
export const assumedCrossZoneMs = 3;
/** Default of the time of a caller that the transfer of one MB between zones may cost. A request of up to 150 KB then counts as it did without this cost. */
export const defaultCrossZoneMsPerMb = 20;
/** Older figures say nothing of a zone's load. */
const maxFigureAgeMs = 1_500;
/** Share of the latency objective that upstreams of another zone may take: the rest is for the load of the other nodes that is not known yet. */
const maxReceiverShare = 0.7;
/**
 * Added for an upstream of a zone that the request should not leave for. It is more than a few failures of the own zone's upstreams and less than what their being
 * unreachable adds.
 */
const refusedMs = 2_000;
const logPauseMs = 5_000;

/** What the choice of a zone depends on, beside the upstreams. */
export interface LeavingRequest {
    readonly service: string;
    readonly latencyObjectiveMs: number;
    /** Bytes that would be transferred, as far as they are known. */
    readonly bytes: number;
    /** Whether a peer passed the request on. */
    readonly isPassedOn: boolean;
}

/** What a node's zones depend on. */
interface ZoneSpillOptions {
    readonly zone: () => string;
    readonly msPerMb: () => number;
    readonly random: Random;
    readonly now?: () => number;
}

const bytesPerMb = 1_000_000;

/** Decides which requests may leave the node's zone. Without a reason against it, a request goes wherever it is predicted to be answered first. */
export class ZoneSpill {
    private readonly services = new Map<string, Map<string, ZonePair>>();
    private readonly loggedAt = new Map<ZonePair, number>();
    private pairs = new Map<string, ZonePair>();
    private ownZone = "";
    private isUneven = false;
    /** What the way to other zones takes. */
    readonly delays: ZoneDelays;

    private constructor(private readonly options: ZoneSpillOptions, private readonly now: () => number) {
        this.delays = ZoneDelays.create(options.zone, now);
    }

    /** Creates the rule of a node that has not chosen any upstream yet. */
    static create(options: ZoneSpillOptions): ZoneSpill {
        return new ZoneSpill(options, options.now ?? ((): number => performance.now()));
    }

    /** Whether the zones of the present choice are uneven: many nodes would choose the same few upstreams. */
    get areZonesUneven(): boolean {
        return this.isUneven;
    }

    /** All zones by service, for metrics. */
    *all(): Iterable<ZonePair> {
        for (const pairs of this.services.values()) {
            yield* pairs.values();
        }
    }

    /** Begins a choice among candidates whose times within their zones have been predicted. */
    begin(request: LeavingRequest, candidates: readonly UpstreamCandidate[], predictedMs: Float64Array): void {
        this.ownZone = this.options.zone();
        this.pairs = getOrCreate(this.services, request.service, () => new Map<string, ZonePair>());
        this.pairs.forEach(pair => pair.clear());
        for (let index = 0; index < candidates.length; index++) {
            const { server, traffic } = candidates[index]!;
            if (!traffic.isUnreachable) {
                const pair = this.pairs.get(server.availabilityZone) ?? this.addPair(server.availabilityZone);
                pair.add(Math.max(1, server.slots), predictedMs[index]!, traffic.figuresAgeMs);
            }
        }
        this.isUneven = false;
        const own = this.pairs.get(this.ownZone);
        if (this.pairs.size > (own ? 1 : 0)) {
            this.decide(request, own);
        }
    }

    private addPair(zone: string): ZonePair {
        const pair = ZonePair.create(zone);
        this.pairs.set(zone, pair);
        return pair;
    }

    /** Time that a request loses by the way to a zone and back. */
    delayMsOf(zone: string): number {
        return zone === this.ownZone ? 0 : this.pairs.get(zone)?.delayMs ?? assumedCrossZoneMs;
    }

    /** What is added to the cost of an upstream of a zone in the present choice. */
    costMsOf(zone: string): number {
        if (zone === this.ownZone) {
            return 0;
        }
        const pair = this.pairs.get(zone);
        return pair ? pair.crossingMs + (pair.refusal === undefined ? 0 : refusedMs) : assumedCrossZoneMs;
    }

    /** Ends the choice with the zone of the chosen upstream. */
    end(zone: string): void {
        for (const pair of this.pairs.values()) {
            if (pair.zone !== this.ownZone && pair.slots > 0) {
                pair.onChosen(pair.zone === zone);
                if (pair.refusal !== undefined && pair.zone !== zone) {
                    pair.refused[pair.refusal]++;
                }
            }
        }
    }

    private decide(request: LeavingRequest, own: ZonePair | undefined): void {
        const bytesMs = this.options.msPerMb() * request.bytes / bytesPerMb;
        const isOwnEmpty = own === undefined || own.slots === 0;
        let drawn: number | undefined;
        for (const pair of this.pairs.values()) {
            if (pair === own || pair.slots === 0) {
                continue;
            }
            pair.delayMs = this.delays.delayMsTo(pair.zone) ?? assumedCrossZoneMs;
            pair.crossingMs = Math.max(assumedCrossZoneMs, pair.delayMs + bytesMs);
            if (isOwnEmpty) {
                continue;
            }
            if (pair.ageMs <= maxFigureAgeMs && pair.observe(own.predictedMs, this.now())) {
                this.log(request.service, pair, own.predictedMs);
            }
            if (pair.share < 1) {
                drawn ??= this.options.random();
            }
            this.isUneven ||= pair.isUneven;
            pair.refusal = request.isPassedOn
                ? ZoneRefusal.PassedOn
                : pair.ageMs > maxFigureAgeMs
                ? ZoneRefusal.OldFigures
                : pair.predictedMs + pair.delayMs > maxReceiverShare * request.latencyObjectiveMs
                ? ZoneRefusal.ReceiverBusy
                : drawn !== undefined && drawn >= pair.share
                ? ZoneRefusal.Share
                : undefined;
        }
    }

    private log(service: string, pair: ZonePair, ownMs: number): void {
        const loggedAt = this.loggedAt.get(pair) ?? Number.NEGATIVE_INFINITY;
        if (this.now() - loggedAt < logPauseMs) {
            return;
        }
        this.loggedAt.set(pair, this.now());
        emit(pair.isUneven ? EventId.ZonesUneven : EventId.ZonesEven, {
            service,
            zone: pair.zone,
            share: Math.round(pair.share * 100) / 100,
            ownMs: Math.round(ownMs),
            otherMs: Math.round(pair.predictedMs),
            crossingMs: Math.round(pair.crossingMs),
            gain: Math.round(pair.gain * 100) / 100,
            figuresAgeMs: Math.round(pair.ageMs),
        });
    }
}
