import { ContactFailure } from "../types/contactFailure";
import { ContactState } from "../types/contactState";
import type { UpstreamServer } from "../types/upstreamServer";
import { processKey } from "../types/upstreamServer";
import { emit } from "../utils/events";
import type { Random } from "../utils/random";
import { AttentiveClock } from "./attentiveClock";
import { chooseProbeTargets } from "./chooseProbeTargets";
import { firstProbes, lostProbes, maxDoubtProbes, minFailedProcesses } from "./contactCounts";
import { contactEvents } from "./contactEvents";
import { ContactEvidence } from "./contactEvidence";
import { checkTimeoutMs, decisionMs, lostProbeIntervalMs, maxTrustedSilenceMs, minDoubtPauseMs, moreProbesAfterMs } from "./contactTimes";
import { LastProbeFailure } from "./lastProbeFailure";

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
    readonly probeFailure = LastProbeFailure.create();
    /** Probes sent since the start, and how often the path was lost. */
    probeCount = 0;
    lossCount = 0;

    private constructor(private readonly random: Random, private readonly isLimited: (process: string) => boolean) {}

    /** Creates the belief of a node that has not used an upstream yet; `isLimited` says whether a process has named a limit on requests. */
    static create(random: Random = Math.random, isLimited: (process: string) => boolean = () => false): UpstreamContact {
        return new UpstreamContact(random, isLimited);
    }

    /** Whether upstreams can be reached directly. */
    get state(): ContactState {
        return this.current;
    }

    /** Whether the path is lost as this node itself cannot send anything: it may not reach peers either. */
    get cannotSend(): boolean {
        return this.current === ContactState.Lost && this.probeFailure.isOwn;
    }

    /** Whether a failure of an upstream at a time on the monotonic clock is its own: the path held, and a new connection to another one worked since. */
    vouchesFor(failedAt: number): boolean {
        return this.current === ContactState.Held && this.evidence.failedProcesses.size < minFailedProcesses && this.evidence.hasReachedSince(failedAt);
    }

    /** Whether a connection to a process other than the given one failed after a time on the monotonic clock, and none has worked since. */
    hasFailedBeside(process: string, time: number): boolean {
        return this.evidence.hasFailedSince(time, process);
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
        this.probeFailure.forget();
        this.mayConcludeAt = this.clock.nowMs + minDoubtPauseMs;
        this.evidence.onWord(process, sentAt);
        if (this.current !== ContactState.Held) {
            this.change(ContactState.Held, "an answered probe");
        }
    }

    /** Records that the connection of a probe failed; one that is not answered in time is no event. */
    onProbeFailed(process: string, kind: ContactFailure): void {
        this.failedProbes++;
        this.probeFailure.onFailed(kind);
        this.onFailure(process, kind);
        if (kind === ContactFailure.Own && this.current === ContactState.Held) {
            this.change(ContactState.Doubted, "a probe that could not be sent");
        }
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

    /** Whether upstreams are only slow to answer probes: connections open, none failed, and answers arrive on those that were open before. */
    private get areProbesSlow(): boolean {
        return this.failedProbes === 0 && !this.evidence.hasFailedSince(this.changedAtMs) && this.evidence.hasReachedSince(this.changedAtMs) &&
            this.evidence.quietMs < this.clock.nowMs - this.changedAt;
    }

    private whileDoubted(listTargets: () => readonly UpstreamServer[]): readonly UpstreamServer[] {
        const ageMs = this.clock.nowMs - this.changedAt;
        const isDecided = ageMs >= decisionMs && this.asked.size > 0;
        // A node that cannot open connections serves over those that it has.
        const isServing = this.probeFailure.isOwn && this.evidence.quietMs < ageMs;
        if (isServing || (isDecided && this.areProbesSlow)) {
            this.change(ContactState.Held, `answers on open connections, and new ones that ${isServing ? "this node cannot open" : "open"}`);
            return [];
        }
        if (isDecided) {
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
        const { asked, isLimited, current } = this;
        const history = { asked, failed: failedProcesses, lastSpeaker, isLimited, prefersNewest: current === ContactState.Lost };
        return chooseProbeTargets(listTargets(), count, history, this.random);
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
        emit(contactEvents[state], { reason, previous, afterMs, probed: this.asked.size, failedProbes: this.failedProbes, ...this.evidence.summary });
        this.current = state;
        this.changedAt = this.clock.nowMs;
        this.changedAtMs = performance.now();
        this.checkedAt = undefined;
        this.failedProbes = 0;
        this.asked.clear();
        if (state === ContactState.Held) {
            this.probeFailure.forget();
            this.mayConcludeAt = this.changedAt + minDoubtPauseMs;
            this.evidence.forgetFailures();
        }
        this.lossCount += Number(state === ContactState.Lost);
        this.observers.forEach(observer => observer(state, previous));
    }
}
