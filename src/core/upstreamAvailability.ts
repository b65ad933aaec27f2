import { EventId } from "../types/eventId";
import type { UpstreamServer } from "../types/upstreamServer";
import { UpstreamState } from "../types/upstreamServer";
import type { IgnoredHeader } from "../types/upstreamWord";
import type { LeavingUpstream, UpstreamProcess, UpstreamWord } from "../types/upstreamWord";
import { emit } from "../utils/events";
import { BrittleUpstreams } from "./brittleUpstreams";
import { LeavingUpstreams } from "./leavingUpstreams";
import { QuietTimes } from "./quietTimes";
import type { RevisionCounter } from "./sharedLog";
import { ChangeOrigin } from "./sharedLog";
import type { UpstreamDirectory } from "./upstreamDirectory";

/** Growth of a quiet time from which on it is logged again. */
const minLoggedGrowthMs = 500;
/** Minimum time between two log lines for headers that are ignored for the same reason. */
const ignoredLogPauseMs = 10_000;

/** Whether an upstream may get a request now, and if not, why. */
export enum Availability {
    Available = "available",
    /** Its quiet time has ended, and it has as many requests of this node as it may have so soon afterwards. */
    Ramping = "ramping",
    /** It asked this node for no requests for a time that is not over. */
    Quiet = "quiet",
    /** It said that it is leaving. */
    Leaving = "leaving",
    Draining = "draining",
    /** The directory has no entry of it, or has one of a later process with its ID or at another address. */
    Gone = "gone",
}

/** The upstream that a request or call was sent to. */
export interface AddressedUpstream extends UpstreamProcess {
    readonly address: string;
}

/** An upstream's process, at the address at which the one that asks would reach it if that matters. */
type LocatedProcess = UpstreamProcess & Partial<Pick<AddressedUpstream, "address">>;

/** States that pass by themselves. */
const passingStates: ReadonlySet<Availability> = new Set([Availability.Available, Availability.Ramping, Availability.Quiet]);

/** Decides which upstreams may get requests, from the directory and from what the upstreams say in their answers. */
export class UpstreamAvailability {
    /** The upstreams that said that they are brittle. */
    readonly brittle: BrittleUpstreams;
    private readonly leaving: LeavingUpstreams;
    private readonly quiet: QuietTimes;
    private readonly ignored = new Map<IgnoredHeader, number>();
    private readonly ignoredLoggedAt = new Map<IgnoredHeader, number>();
    /** Called when this node, or one that reports to it, heard that an upstream is leaving. */
    onOutgoing: () => void = () => undefined;

    private constructor(
        private readonly directory: UpstreamDirectory,
        private readonly inFlightOf: (id: string) => number,
        counter: RevisionCounter,
        private readonly now: () => number,
    ) {
        this.leaving = LeavingUpstreams.create(counter, id => directory.get(id) !== undefined);
        this.brittle = BrittleUpstreams.create(counter, id => directory.get(id)?.service);
        this.quiet = QuietTimes.create(now);
    }

    /** Creates the availability of a directory's upstreams; `inFlightOf` returns this node's requests in progress at an upstream. */
    static create(
        directory: UpstreamDirectory,
        inFlightOf: (id: string) => number = () => 0,
        counter: RevisionCounter = { value: 0 },
        now: () => number = () => performance.now(),
    ): UpstreamAvailability {
        return new UpstreamAvailability(directory, inFlightOf, counter, now);
    }

    /** Whether an upstream may get a request now. */
    of(process: LocatedProcess): Availability {
        const listed = this.directory.get(process.id);
        const isElsewhere = process.address !== undefined && listed?.address !== process.address;
        if (!listed || listed.bornAt > process.bornAt || isElsewhere) {
            return Availability.Gone;
        }
        if (listed.state !== UpstreamState.Ready) {
            return Availability.Draining;
        }
        if (this.leaving.find(process)) {
            return Availability.Leaving;
        }
        if (this.quiet.remainingMs(process) > 0) {
            return Availability.Quiet;
        }
        const share = this.quiet.slotShare(process);
        return share !== undefined && this.inFlightOf(process.id) >= 1 + Math.floor(share * listed.slots) ? Availability.Ramping : Availability.Available;
    }

    /** Whether a new request may be sent to an upstream. */
    mayTake(process: LocatedProcess): boolean {
        return this.of(process) === Availability.Available;
    }

    /** Whether a request that was chosen for an upstream may still be sent when its connection is open. */
    mayStillSend(process: LocatedProcess): boolean {
        const state = this.of(process);
        return state === Availability.Available || state === Availability.Ramping;
    }

    /** Whether a call that is no request, such as a report or an order, may be sent to an upstream; one that is draining by its row still gets them. */
    mayCall(process: UpstreamProcess): boolean {
        return !this.hasSaidLeaving(process) && this.quiet.remainingMs(process) === 0;
    }

    /** Whether an upstream said that it is leaving. */
    hasSaidLeaving(process: UpstreamProcess): boolean {
        return this.leaving.find(process) !== undefined;
    }

    /** Upstreams of a service that take requests now or after their quiet time. */
    servingOf(service: string): readonly UpstreamServer[] {
        const ready = this.directory.readyOf(service);
        return this.leaving.size + this.quiet.size === 0 ? ready : ready.filter(server => passingStates.has(this.of(server)));
    }

    /** Time for which an upstream asked for no requests; 0 if that is over. */
    quietMsOf(process: UpstreamProcess): number {
        return this.quiet.remainingMs(process);
    }

    /** An upstream as it should be used: one that said that it is leaving is draining, whatever its row says. */
    effective(server: UpstreamServer): UpstreamServer {
        return this.hasSaidLeaving(server) ? { ...server, state: UpstreamState.Draining } : server;
    }

    /**
     * Records what an answer says of the upstream that sent it; `request` is named in the log, `sentAt` is when it was sent. Without that time, nothing follows from
     * what the answer does not say.
     */
    onAnswer(addressed: AddressedUpstream, word: UpstreamWord, request?: string, sentAt?: number): void {
        word.ignoredHeaders.forEach(reason => this.onIgnored(reason, addressed.id));
        const mayEndBrittle = sentAt !== undefined && this.brittle.size > 0;
        if (!word.isLeaving && word.quietMs === undefined && word.maxRejectionsPerS === undefined && !mayEndBrittle) {
            return;
        }
        const speaker = this.speakerOf(addressed, word);
        if (speaker) {
            this.brittle.onAnswer(speaker, word, request, sentAt);
        }
        if (speaker && word.isLeaving && this.leaving.add(speaker, ChangeOrigin.Below)) {
            this.logLeaving(speaker, ChangeOrigin.Below, request);
            this.onOutgoing();
        }
        if (speaker && word.quietMs !== undefined) {
            this.onQuiet(speaker, word.quietMs, request);
        }
    }

    /** Merges what another node heard. */
    add({ id, bornAt, ageMs }: LeavingUpstream, origin = ChangeOrigin.Below): void {
        if (this.leaving.add({ id, bornAt }, origin, ageMs)) {
            this.logLeaving({ id, bornAt }, origin);
            if (origin === ChangeOrigin.Below) {
                this.onOutgoing();
            }
        }
    }

    /** Upstreams that were heard to be leaving after a revision. */
    changesSince(revision: number, isOutgoing = false): readonly LeavingUpstream[] {
        return this.leaving.changesSince(revision, isOutgoing);
    }

    /** Number of listed upstreams that are leaving by their own word. */
    get leavingCount(): number {
        return this.leaving.size === 0 ? 0 : this.directory.all().filter(server => this.hasSaidLeaving(server)).length;
    }

    /** Times left of the upstreams that asked for quiet. */
    get quietTimesLeft(): readonly number[] {
        return this.quiet.remaining;
    }

    /** Number of headers that were ignored for a reason. */
    ignoredCount(reason: IgnoredHeader): number {
        return this.ignored.get(reason) ?? 0;
    }

    /**
     * The process that an answer speaks for: the one that it names, and otherwise the one it was asked of. An address that is in use again belongs to the latest
     * process there, which answers 421 to what was meant for an earlier one.
     */
    private speakerOf(addressed: AddressedUpstream, { instanceId, isMisdirected }: UpstreamWord): UpstreamProcess | undefined {
        if (instanceId !== undefined && instanceId !== addressed.id) {
            return this.directory.get(instanceId);
        }
        if (instanceId === undefined && isMisdirected) {
            const atAddress = this.directory.all().filter(({ address }) => address === addressed.address);
            return atAddress.reduce<UpstreamProcess>((latest, server) => server.bornAt > latest.bornAt ? server : latest, addressed);
        }
        return addressed;
    }

    private onQuiet(process: UpstreamProcess, askedMs: number, request: string | undefined): void {
        const before = this.quiet.remainingMs(process);
        const growthMs = this.quiet.ask(process, askedMs);
        if (growthMs > 0 && (before === 0 || growthMs >= minLoggedGrowthMs)) {
            const { id, bornAt } = process;
            const leftMs = Math.round(this.quiet.remainingMs(process));
            emit(EventId.UpstreamQuiet, { upstream: id, bornAt, askedMs: Math.round(askedMs), leftMs, request });
        }
    }

    private logLeaving({ id, bornAt }: UpstreamProcess, origin: ChangeOrigin, request?: string): void {
        emit(EventId.UpstreamSaidLeaving, { upstream: id, bornAt, origin, rowState: this.directory.get(id)?.state ?? "gone", request });
    }

    private onIgnored(reason: IgnoredHeader, upstream: string): void {
        this.ignored.set(reason, this.ignoredCount(reason) + 1);
        const loggedAt = this.ignoredLoggedAt.get(reason) ?? Number.NEGATIVE_INFINITY;
        if (this.now() - loggedAt >= ignoredLogPauseMs) {
            this.ignoredLoggedAt.set(reason, this.now());
            emit(EventId.UpstreamHeaderIgnored, { upstream, reason, count: this.ignoredCount(reason) });
        }
    }
}
