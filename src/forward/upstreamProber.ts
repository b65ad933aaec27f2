import { toFailure } from "../core/failures";
import { EventId } from "../types/eventId";
import type { RunnerAddress, RunnerControl } from "../types/runner";
import { emit } from "../utils/events";
import { getOrCreate } from "../utils/maps";

/** Time for which the result of a probe is used for other requests to the same runner. */
const resultLifetimeMs = 300;

/** Asks silent runners whether they are alive. */
export class UpstreamProber {
    private readonly probes = new Map<string, Promise<boolean>>();

    private constructor(private readonly runners: RunnerControl) {}

    /** Creates a prober that has not probed any runner. */
    static create(runners: RunnerControl): UpstreamProber {
        return new UpstreamProber(runners);
    }

    /** Whether a runner answers; requests that ask at about the same time share one probe. */
    isAlive(runner: RunnerAddress): Promise<boolean> {
        return getOrCreate(this.probes, runner.id, () => this.probe(runner));
    }

    private async probe(runner: RunnerAddress): Promise<boolean> {
        try {
            await this.runners.fetchReport(runner);
            return true;
        }
        catch (err) {
            emit(EventId.ReportFailed, { runner: runner.id, detail: toFailure(err).detail });
            return false;
        }
        finally {
            setTimeout(() => this.probes.delete(runner.id), resultLifetimeMs).unref();
        }
    }
}
