import { randomUUID } from "node:crypto";
import type { CrashLog } from "../core/crashLog";
import { LearnedSpeeds } from "../core/learnedSpeeds";
import type { RunnerLimits } from "../core/runnerLimits";
import type { RevisionCounter } from "../core/sharedLog";
import { ChangeOrigin } from "../core/sharedLog";
import type { UpstreamAvailability } from "../core/upstreamAvailability";
import type { FactAnswer, FactReport, SharedFacts } from "../types/sharedFacts";

/** The peer that this node reports to, and what the two have told each other. */
interface Uplink {
    readonly address: string;
    readonly source?: string;
    /** Revision of the peer up to which this node knows its facts. */
    readonly knownRevision: number;
    /** Own revision up to which the peer knows this node's facts. */
    readonly sentRevision: number;
}

/** A report with what has to be remembered of it until its answer arrives. */
export interface PreparedFacts {
    readonly report: FactReport;
    readonly address: string;
    readonly revision: number;
    /** Whether the report holds all facts. */
    readonly isFull: boolean;
}

/** Passes facts between nodes: up to the peer that a node reports to, and down with that peer's answers. */
export class FactExchange {
    private readonly source = randomUUID();
    private uplink: Uplink | undefined;

    private constructor(
        private readonly counter: RevisionCounter,
        private readonly crashLog: CrashLog,
        private readonly limits: RunnerLimits,
        private readonly availability: UpstreamAvailability,
        private readonly learnedSpeeds: LearnedSpeeds,
    ) {}

    /** Creates the exchange of a node that has not reported to any peer; the counter is that of the logs. */
    static create(
        counter: RevisionCounter,
        crashLog: CrashLog,
        limits: RunnerLimits,
        availability: UpstreamAvailability,
        learnedSpeeds = LearnedSpeeds.create(counter),
    ): FactExchange {
        return new FactExchange(counter, crashLog, limits, availability, learnedSpeeds);
    }

    /** Address of the peer that answered the last report. */
    get uplinkAddress(): string | undefined {
        return this.uplink?.address;
    }

    /** Prepares the facts of a report: all for a peer that this node has not reported to before, otherwise what is new. */
    prepare(address: string): PreparedFacts {
        const known = this.uplink?.address === address ? this.uplink : undefined;
        const { source, knownRevision = 0, sentRevision = 0 } = known ?? {};
        const facts = this.factsSince(sentRevision, known !== undefined);
        return { report: { source, knownRevision, facts }, address, revision: this.counter.value, isFull: sentRevision === 0 };
    }

    /** Applies the answer to a report. */
    onAnswer({ report, address, revision, isFull }: PreparedFacts, { source, revision: peerRevision, facts }: FactAnswer): void {
        // A peer that has started anew since the last report does not know what it was told before.
        const isKnown = isFull || source === report.source;
        this.uplink = { address, source, knownRevision: peerRevision, sentRevision: isKnown ? revision : 0 };
        this.apply(facts, ChangeOrigin.Uplink);
    }

    /** Applies a node's report and returns what that node does not know. */
    serve({ source, knownRevision, facts }: FactReport): FactAnswer {
        this.apply(facts, ChangeOrigin.Below);
        return { source: this.source, revision: this.counter.value, facts: this.factsSince(source === this.source ? knownRevision : 0, false) };
    }

    private apply({ crashes, limits, leaving = [], brittle = [], speeds = [] }: SharedFacts, origin: ChangeOrigin): void {
        crashes.forEach(crash => this.crashLog.add(crash, origin));
        limits.forEach(limit => this.limits.add(limit, origin));
        leaving.forEach(upstream => this.availability.add(upstream, origin));
        brittle.forEach(upstream => this.availability.brittle.add(upstream, origin));
        speeds.forEach(speed => this.learnedSpeeds.add(speed, origin));
    }

    private factsSince(revision: number, isOutgoing: boolean): SharedFacts {
        return {
            crashes: this.crashLog.changesSince(revision, isOutgoing),
            limits: this.limits.changesSince(revision, isOutgoing),
            leaving: this.availability.changesSince(revision, isOutgoing),
            brittle: this.availability.brittle.changesSince(revision, isOutgoing),
            speeds: this.learnedSpeeds.changesSince(revision, isOutgoing),
        };
    }
}
