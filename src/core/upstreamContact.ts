import type { ContactFailure } from "../types/contactFailure";
import { ContactState } from "../types/contactState";
import { EventId } from "../types/eventId";
import type { UpstreamServer } from "../types/upstreamServer";
import { processKey } from "../types/upstreamServer";
import { emit } from "../utils/events";
import type { Random } from "../utils/random";
import { AttentiveClock } from "./attentiveClock";
import { chooseProbeTargets } from "./chooseProbeTargets";
import { ContactEvidence } from "./contactEvidence";

/** Time after which the probe of a held path counts as unanswered. */
const checkTimeoutMs = 200;
/** Failed connections to this many processes, without a new one that worked in between, raise a doubt. */
const minFailedProcesses = 2;
/** Minimum time between an answered probe and the next conclusion from failures: crashes of many upstreams cost no more probes than this allows. */
const minDoubtPauseMs = 700;
/** Time in which one of the probes must be answered. */
const decisionMs = 500;
/** Probes at the beginning of a doubt, the most in all, and the time after which all of them are used. */
const firstProbes = 3;
const maxDoubtProbes = 6;
const moreProbesAfterMs = 250;
/** While the path is lost, so many upstreams are probed at this interval. */
const lostProbeIntervalMs = 300;
const lostProbes = 2;
/** A request that must not be repeated is not sent on a kept connection while nothing has arrived for this long. */
const maxTrustedSilenceMs = 200;

const eventOf: Readonly<Record<ContactState, EventId>> = {
    [ContactState.Held]: EventId.UpstreamContactHeld,
    [ContactState.Doubted]: EventId.UpstreamContactDoubted,
    [ContactState.Lost]: EventId.UpstreamContactLost,
};

/**
 * What this node believes of its own path to the upstreams. One upstream that fails or is silent says nothing of it. Failures at several, or silence of all, raise
 * a doubt that probes over new connections decide: answers on open connections do not show that new ones can be opened.
 */
export class UpstreamContact {
    private readonly clock = AttentiveClock.create();
    private readonly evidence = ContactEvidence.create(this.clock);
    private readonly observers: ((state: ContactState, previous: ContactState) => void)[] = [];
    private current = ContactState.Held;
    /** When the state changed, on the attentive clock and on the monotonic one. */
    private changedAt = this.clock.nowMs;
    private changedAtMs = performance.now();
    private lostUntil = Number.NEGATIVE_INFINITY;
    private mayConcludeAt = Number.NEGATIVE_INFINITY;
    /** Start of the check that is not answered yet, and of the latest probes of a lost path. */
    private checkedAt: number | undefined;
    private probedAt = Number.NEGATIVE_INFINITY;
    /** Processes that were probed in the present state. */
    private readonly asked = new Set<string>();
    private failedProbes = 0;
    private isLostBySilence = false;
    /** Probes sent since the start, and how often the path was lost. */
    probeCount = 0;
    lossCount = 0;

    private constructor(private readonly random: Random) {}

    /** Creates the belief of a node that has not used an upstream yet. */
    static create(random: Random = Math.random): UpstreamContact {
        return new UpstreamContact(random);
    }

    /** Whether upstreams can be reached directly. */
    get state(): ContactState {
        return this.current;
    }

    /** Whether a failure of an upstream at a time on the monotonic clock is its own: the path held, and a new connection to another one worked since. */
    vouchesFor(failedAt: number): boolean {
        return this.current === ContactState.Held && this.evidence.failedProcesses.size < minFailedProcesses && this.evidence.hasReachedSince(failedAt);
    }

    /** Whether the path is held, and an upstream answered over a connection that was opened after a time on the monotonic clock. */
    isProvenSince(time: number): boolean {
        return this.current === ContactState.Held && this.evidence.hasAnsweredSince(time);
    }

    /** Upstreams to probe for a proof of the path now. */
    proofTargets(listTargets: () => readonly UpstreamServer[]): readonly UpstreamServer[] {
        const targets = this.choose(listTargets, firstProbes);
        this.probeCount += targets.length;
        return targets;
    }

    /** Whether the path has been lost at a time since the given one, on the monotonic clock. */
    wasLostSince(time: number): boolean {
        return this.current === ContactState.Lost || this.lostUntil > time;
    }

    /** Whether a kept connection may carry a request that must not be repeated. */
    get trustsKeptConnections(): boolean {
        return this.current === ContactState.Held && this.evidence.silentMs < maxTrustedSilenceMs;
    }

    /** Whether a lost path may be sound: the hosts of upstreams accept connections, and all upstreams may be suspended. */
    get mayBeSuspension(): boolean {
        return this.isLostBySilence && !this.evidence.hasFailedSince(this.changedAtMs);
    }

    /** Calls the observer after each change. */
    observe(observer: (state: ContactState, previous: ContactState) => void): void {
        this.observers.push(observer);
    }

    /** Adds to the number of requests in progress at upstreams. */
    countInProgress(change: number): void {
        this.evidence.countInProgress(change);
    }

    /** Records that part of an answer arrived over a connection, opened at a time on the monotonic clock if that is known. */
    onWord(process?: string, connectionOpenedAt = Number.NEGATIVE_INFINITY): void {
        this.evidence.onWord(process, connectionOpenedAt);
        if (this.current !== ContactState.Held && connectionOpenedAt > this.changedAtMs) {
            this.change(ContactState.Held, "an answer over a new connection");
        }
    }

    /** Records that a connection was opened. */
    onOpened(): void {
        this.evidence.onOpened();
    }

    /** Records that a connection to an upstream's process failed. */
    onFailure(process: string, kind: ContactFailure): void {
        this.evidence.onFailure(process, kind);
        this.doubtAfterFailures();
    }

    /** Records that a probe was answered; any HTTP answer shows that the path is there. */
    onProbeAnswered(process: string, sentAt: number): void {
        this.checkedAt = undefined;
        this.mayConcludeAt = this.clock.nowMs + minDoubtPauseMs;
        this.evidence.onWord(process, sentAt);
        if (this.current !== ContactState.Held) {
            this.change(ContactState.Held, "an answered probe");
        }
    }

    /** Records that the connection of a probe failed; one that is not answered in time is no event. */
    onProbeFailed(process: string, kind: ContactFailure): void {
        this.failedProbes++;
        this.onFailure(process, kind);
    }

    /** Draws conclusions from the time that has passed; returns the upstreams to probe now. Called regularly, after all that has arrived was read. */
    tick(listTargets: () => readonly UpstreamServer[]): readonly UpstreamServer[] {
        this.clock.tick();
        const targets = this.probers[this.current](listTargets);
        targets.forEach(server => this.asked.add(processKey(server)));
        this.probeCount += targets.length;
        return targets;
    }

    private readonly probers: Readonly<Record<ContactState, (listTargets: () => readonly UpstreamServer[]) => readonly UpstreamServer[]>> = {
        [ContactState.Held]: listTargets => this.whileHeld(listTargets),
        [ContactState.Doubted]: listTargets => this.whileDoubted(listTargets),
        [ContactState.Lost]: listTargets => this.whileLost(listTargets),
    };

    private whileHeld(listTargets: () => readonly UpstreamServer[]): readonly UpstreamServer[] {
        this.doubtAfterFailures();
        const isCheckDue = this.evidence.isProbeDue(this.clock.nowMs >= this.mayConcludeAt);
        if (!isCheckDue) {
            this.checkedAt = undefined;
            this.asked.clear();
        }
        else if (this.checkedAt !== undefined && this.clock.nowMs - this.checkedAt >= checkTimeoutMs) {
            this.change(ContactState.Doubted, "an unanswered probe");
        }
        if (this.state === ContactState.Doubted) {
            return this.whileDoubted(listTargets);
        }
        const targets = isCheckDue && (this.checkedAt === undefined || this.failedProbes > 0) ? this.choose(listTargets, 1) : [];
        if (targets.length > 0) {
            this.checkedAt ??= this.clock.nowMs;
            this.failedProbes = 0;
        }
        return targets;
    }

    private whileDoubted(listTargets: () => readonly UpstreamServer[]): readonly UpstreamServer[] {
        const ageMs = this.clock.nowMs - this.changedAt;
        if (ageMs >= decisionMs && this.asked.size > 0) {
            this.isLostBySilence = this.failedProbes === 0 && this.evidence.hasOnlyReachedSince(this.changedAtMs);
            if (this.isLostBySilence && this.evidence.quietMs < ageMs) {
                this.change(ContactState.Held, "answers on open connections, and new ones that open");
                return [];
            }
            this.change(ContactState.Lost, "no answered probe");
            return this.whileLost(listTargets);
        }
        const due = ageMs < moreProbesAfterMs ? Math.min(maxDoubtProbes, firstProbes + this.failedProbes) : maxDoubtProbes;
        const targets = this.choose(listTargets, due - this.asked.size).filter(server => !this.asked.has(processKey(server)));
        if (targets.length + this.asked.size === 0) {
            this.change(ContactState.Held, "no upstream may be probed");
        }
        return targets;
    }

    private whileLost(listTargets: () => readonly UpstreamServer[]): readonly UpstreamServer[] {
        if (this.clock.nowMs - this.probedAt < lostProbeIntervalMs) {
            return [];
        }
        this.probedAt = this.clock.nowMs;
        const targets = this.choose(listTargets, lostProbes);
        if (targets.some(server => this.asked.has(processKey(server)))) {
            this.asked.clear();
        }
        return targets;
    }

    private choose(listTargets: () => readonly UpstreamServer[], count: number): readonly UpstreamServer[] {
        if (count <= 0) {
            return [];
        }
        const { failedProcesses, lastSpeaker } = this.evidence;
        return chooseProbeTargets(listTargets(), count, { asked: this.asked, failed: failedProcesses, lastSpeaker }, this.random);
    }

    private doubtAfterFailures(): void {
        const isDue = this.current === ContactState.Held && this.clock.nowMs >= this.mayConcludeAt;
        if (isDue && this.evidence.failedProcesses.size >= minFailedProcesses) {
            this.change(ContactState.Doubted, "failures at several upstreams");
        }
    }

    private change(state: ContactState, reason: string): void {
        const previous = this.current;
        this.lostUntil = previous === ContactState.Lost ? performance.now() : this.lostUntil;
        const afterMs = Math.round(performance.now() - this.changedAtMs);
        emit(eventOf[state], { reason, previous, afterMs, probed: this.asked.size, failedProbes: this.failedProbes, ...this.evidence.summary });
        this.current = state;
        this.changedAt = this.clock.nowMs;
        this.changedAtMs = performance.now();
        this.checkedAt = undefined;
        this.failedProbes = 0;
        this.asked.clear();
        if (state === ContactState.Held) {
            this.mayConcludeAt = this.changedAt + minDoubtPauseMs;
            this.evidence.forgetFailures();
        }
        this.lossCount += Number(state === ContactState.Lost);
        this.observers.forEach(observer => observer(state, previous));
    }
}
