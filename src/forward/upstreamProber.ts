import { toFailure } from "../core/failures";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import type { RunnerAddress, RunnerControl } from "../types/runner";
import { emit } from "../utils/events";
import { getOrCreate } from "../utils/maps";
import { sleep } from "../utils/time";
import { probeAddress, UpstreamLife } from "./probeAddress";

/** Time for which the result of a probe is used for other requests to the same runner. */
const resultLifetimeMs = 300;

/** Pauses before the probes for whether a runner has ended: its connections may end a little earlier than it does. */
const endProbePausesMs = [100, 300];

/** Time after which a connection to a runner that may not be called counts as unanswered. */
const connectTimeoutMs = 300;

/** What a probe says of a runner. */
enum ProbeResult {
    Alive = "alive",
    /** Nothing answered in time, or not with a report. */
    Unknown = "unknown",
    /** No process or another one answers at its address. */
    Ended = "ended",
}

/** Asks runners whether they are alive. */
export class UpstreamProber {
    private readonly probes = new Map<string, Promise<ProbeResult>>();

    private constructor(private readonly runners: RunnerControl, private readonly mayCall: (runner: RunnerAddress) => boolean) {}

    /** Creates a prober that has not probed any runner. Runners that may not be called are only connected to. */
    static create(runners: RunnerControl, mayCall: (runner: RunnerAddress) => boolean = () => true): UpstreamProber {
        return new UpstreamProber(runners, mayCall);
    }

    /** Whether a runner answers; requests that ask at about the same time share one probe. One that may not be called has said why itself, and counts as alive. */
    async isAlive(runner: RunnerAddress): Promise<boolean> {
        return !this.mayCall(runner) || await this.startProbe(runner) === ProbeResult.Alive;
    }

    /** Whether a runner's process has certainly ended. Always probes anew: an earlier result may be from before the end. */
    async hasEnded(runner: RunnerAddress): Promise<boolean> {
        for (const pauseMs of endProbePausesMs) {
            await sleep(pauseMs);
            if (await this.probe(runner) === ProbeResult.Ended) {
                return true;
            }
        }
        return false;
    }

    private startProbe(runner: RunnerAddress): Promise<ProbeResult> {
        const key = `${runner.id}@${runner.bornAt}@${runner.address}`;
        const probe = (): Promise<ProbeResult> => this.probe(runner).finally(() => setTimeout(() => this.probes.delete(key), resultLifetimeMs).unref());
        return getOrCreate(this.probes, key, probe);
    }

    private async probe(runner: RunnerAddress): Promise<ProbeResult> {
        try {
            if (!this.mayCall(runner)) {
                // A connection without a request is no call.
                return await probeAddress(runner.address, connectTimeoutMs) === UpstreamLife.Ended ? ProbeResult.Ended : ProbeResult.Unknown;
            }
            const { bornAt } = await this.runners.fetchReport(runner);
            return bornAt > runner.bornAt ? ProbeResult.Ended : ProbeResult.Alive;
        }
        catch (err) {
            const { kind, detail } = toFailure(err);
            emit(EventId.ReportFailed, { runner: runner.id, detail });
            return kind === FailureKind.UpstreamEnded ? ProbeResult.Ended : ProbeResult.Unknown;
        }
    }
}
