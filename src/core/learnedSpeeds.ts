import { EventId } from "../types/eventId";
import type { ServiceSpeeds } from "../types/serviceSpeeds";
import type { SharedSpeed } from "../types/sharedSpeed";
import { SpeedKind } from "../types/speedKind";
import { emit } from "../utils/events";
import { getOrCreate } from "../utils/maps";
import { assumedSpeeds } from "./assumedSpeeds";
import type { Line } from "./robustLine";
import { RobustLine } from "./robustLine";
import type { RevisionCounter } from "./sharedLog";
import { ChangeOrigin, SharedLog } from "./sharedLog";

/** A speed is told to other nodes if it differs by this share from what is known, and no more often than at this interval. */
const minChange = 0.1;
const tellIntervalMs = 10_000;
/** A model's factor follows more slowly than the speed of its service: otherwise both would follow the same change. */
const tellFactorIntervalMs = 60_000;
/** Two nodes' readings of the age of one speed may differ by this much. */
const ageToleranceMs = 1_000;
/** An older speed is not taken from other nodes, and one of half this age is told again although it has not changed. */
const lifetimeMs = 600_000;
/** A speed that differs from the assumed one by a larger factor is not credible. */
const maxFactor = 20;
/** Speeds that are kept; further ones are not learned. */
const maxSpeeds = 1_024;

/** What a speed of a kind is compared with, and the distance in x that two samples need to show a slope. */
interface KindSpec {
    readonly assumedBase: number;
    readonly assumedSlope: number;
    readonly minDistance: number;
    /** The value that must be credible and whose changes are told; the other one follows. */
    readonly valueOf: (speed: Pick<SharedSpeed, "base" | "slope">) => number;
}

const specs: Readonly<Record<SpeedKind, KindSpec>> = {
    [SpeedKind.Prefill]: { assumedBase: 0, assumedSlope: assumedSpeeds.prefillMsPerToken, minDistance: 200, valueOf: ({ slope }) => slope },
    [SpeedKind.Step]: { assumedBase: assumedSpeeds.stepMs, assumedSlope: assumedSpeeds.stepMsPerRequest, minDistance: 4, valueOf: ({ base }) => base },
    [SpeedKind.Plain]: { assumedBase: assumedSpeeds.plainMs, assumedSlope: 0, minDistance: Number.POSITIVE_INFINITY, valueOf: ({ base }) => base },
    [SpeedKind.Model]: { assumedBase: 1, assumedSlope: 0, minDistance: Number.POSITIVE_INFINITY, valueOf: ({ base }) => base },
};

interface KnownSpeed extends Omit<SharedSpeed, "ageMs"> {
    /** When it was learned, on this node's clock. */
    readonly at: number;
}

const keyOf = (kind: SpeedKind, service: string, model = ""): string => JSON.stringify([kind, service, model]);

const isCredible = (kind: SpeedKind, speed: Pick<SharedSpeed, "base" | "slope">): boolean => {
    const { assumedBase, assumedSlope, valueOf } = specs[kind];
    const ratio = valueOf(speed) / valueOf({ base: assumedBase, slope: assumedSlope });
    return ratio >= 1 / maxFactor && ratio <= maxFactor && speed.slope >= 0 && speed.slope <= maxFactor * Math.max(assumedSlope, 1);
};

/** Speeds of upstreams that the nodes learned from responses; the assumed ones until there are enough samples. */
export class LearnedSpeeds {
    private readonly lines = new Map<string, RobustLine>();
    private readonly known: SharedLog<KnownSpeed>;
    private readonly toldAt = new Map<string, number>();
    private readonly speedsByService = new Map<string, ServiceSpeeds>();
    private readonly factors = new Map<string, Map<string, number>>();
    /** Samples that were used since the start. */
    samples = 0;

    private constructor(counter: RevisionCounter, private readonly now: () => number) {
        this.known = SharedLog.create(counter);
    }

    /** Creates the speeds of a node that has learned nothing. */
    static create(counter: RevisionCounter = { value: 0 }, now: () => number = () => performance.now()): LearnedSpeeds {
        return new LearnedSpeeds(counter, now);
    }

    /** Number of learned speeds in use. */
    get size(): number {
        return this.known.size;
    }

    /** Age of the speed that was learned longest ago. */
    get oldestAgeMs(): number {
        return this.known.values().reduce((oldest, { at }) => Math.max(oldest, this.now() - at), 0);
    }

    /** Speeds of a service. */
    speedsOf(service: string): ServiceSpeeds {
        return this.speedsByService.get(service) ?? assumedSpeeds;
    }

    /** Factor on the times of a service's upstreams for one of its models. */
    factorOf(service: string, model: string): number {
        return this.factors.get(service)?.get(model) ?? 1;
    }

    /** Adds the time to the first event of a generation that did not wait at its runner, at the usual pace. */
    onFirstEvent(service: string, prefillTokens: number, usualMs: number): void {
        this.learn(SpeedKind.Prefill, service, undefined, prefillTokens, usualMs);
    }

    /**
     * Adds the time of a decoding step with a number of requests in the batch, at the usual pace. The first models that are seen define the speed of the service; the
     * factor of any other is learned before its samples count for the service.
     */
    onStep(service: string, model: string, batch: number, usualMs: number): void {
        const { stepMs, stepMsPerRequest } = this.speedsOf(service);
        const isServiceKnown = this.known.get(keyOf(SpeedKind.Step, service)) !== undefined;
        if (isServiceKnown) {
            this.learn(SpeedKind.Model, service, model, 0, usualMs / (stepMs + stepMsPerRequest * batch));
        }
        if (!isServiceKnown || this.known.get(keyOf(SpeedKind.Model, service, model))) {
            this.learn(SpeedKind.Step, service, undefined, batch, usualMs / this.factorOf(service, model));
        }
    }

    /** Adds the time to the first byte of a plain request to an upstream with free slots, at the usual pace. */
    onPlain(service: string, usualMs: number): void {
        this.learn(SpeedKind.Plain, service, undefined, 0, usualMs);
    }

    /** Merges what another node learned; the newest counts. */
    add({ ageMs, ...speed }: SharedSpeed, origin = ChangeOrigin.Below): void {
        const known = this.known.get(keyOf(speed.kind, speed.service, speed.model));
        const at = this.now() - ageMs;
        if (ageMs < lifetimeMs && isCredible(speed.kind, speed) && at > (known?.at ?? Number.NEGATIVE_INFINITY) + ageToleranceMs) {
            this.set({ ...speed, at }, origin);
        }
    }

    /** Speeds that changed after a revision, or only those whose change did not come from the uplink. */
    changesSince(revision: number, isOutgoing = false): readonly SharedSpeed[] {
        const changes = isOutgoing ? this.known.outgoingSince(revision) : this.known.since(revision);
        return changes.map(({ at, ...speed }) => ({ ...speed, ageMs: this.now() - at }));
    }

    private learn(kind: SpeedKind, service: string, model: string | undefined, x: number, y: number): void {
        const key = keyOf(kind, service, model);
        if (!Number.isFinite(y) || (this.lines.size >= maxSpeeds && !this.lines.has(key))) {
            return;
        }
        this.samples++;
        const { minDistance, assumedSlope } = specs[kind];
        const line = getOrCreate(this.lines, key, () => RobustLine.create(minDistance, assumedSlope)).add(x, y);
        // A time to the first event says nothing of the prefill unless prompts differ in length.
        if (line && (kind !== SpeedKind.Prefill || line.slope !== undefined)) {
            this.tell(key, kind, service, model, line);
        }
    }

    private tell(key: string, kind: SpeedKind, service: string, model: string | undefined, line: Line): void {
        const { valueOf, assumedSlope } = specs[kind];
        const own = { base: line.base, slope: Math.max(0, line.slope ?? assumedSlope) };
        const known = this.known.get(key);
        const isSimilar = known !== undefined && Math.abs(valueOf(own) / valueOf(known) - 1) < minChange && this.now() - known.at < lifetimeMs / 2;
        const intervalMs = kind === SpeedKind.Model ? tellFactorIntervalMs : tellIntervalMs;
        const mayTell = this.now() - (this.toldAt.get(key) ?? Number.NEGATIVE_INFINITY) >= intervalMs;
        if (isSimilar || !mayTell || !isCredible(kind, own)) {
            return;
        }
        this.toldAt.set(key, this.now());
        // What other nodes learned counts as much as what this one did, so that two nodes with different samples agree.
        const base = known ? (known.base + own.base) / 2 : own.base;
        const slope = known ? (known.slope + own.slope) / 2 : own.slope;
        this.set({ kind, service, model, base, slope, at: this.now() }, ChangeOrigin.Below);
        emit(EventId.SpeedLearned, {
            service,
            kind,
            model,
            base,
            slope,
            before: known && valueOf(known),
            beforeAgeMs: known && Math.round(this.now() - known.at),
        });
    }

    private set(speed: KnownSpeed, origin: ChangeOrigin): void {
        const { kind, service, model, base, slope } = speed;
        const key = keyOf(kind, service, model);
        if (this.known.size >= maxSpeeds && !this.known.get(key)) {
            return;
        }
        this.known.set(key, speed, origin);
        if (kind === SpeedKind.Model) {
            getOrCreate(this.factors, service, () => new Map<string, number>()).set(model ?? "", base);
            return;
        }
        const changes: Readonly<Record<Exclude<SpeedKind, SpeedKind.Model>, Partial<ServiceSpeeds>>> = {
            [SpeedKind.Prefill]: { prefillMsPerToken: slope },
            [SpeedKind.Step]: { stepMs: base, stepMsPerRequest: slope },
            [SpeedKind.Plain]: { plainMs: base },
        };
        this.speedsByService.set(service, { ...this.speedsOf(service), ...changes[kind] });
    }
}
