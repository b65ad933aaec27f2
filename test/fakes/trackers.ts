import { RunnerTracker } from "../../src/core/runnerTracker";
import { UpstreamState } from "../../src/types/upstreamServer";

/** A runner as the controller sees it. */
export interface TrackedRunner {
    readonly id: string;
    readonly softwareVersion?: string;
    readonly models?: readonly string[];
    readonly inMemory?: readonly string[];
    readonly state?: UpstreamState;
    /** Whether it loads something at the moment, until a time on the monotonic clock. */
    readonly isBusy?: boolean;
    readonly hasReport?: boolean;
}

/** Creates a tracker that has received a report. */
export const createTracker = (
    { id, softwareVersion, models = [], inMemory = [], state = UpstreamState.Ready, isBusy = false, hasReport = true }: TrackedRunner,
): RunnerTracker => {
    const tracker = RunnerTracker.create({
        id,
        service: "desk",
        address: "127.0.0.1:1",
        availabilityZone: "a",
        softwareVersion,
        slots: 8,
        state,
        models: [],
        inMemory,
        onDisk: [],
        bornAt: 1,
        acceptedOrders: 0,
    });
    if (hasReport) {
        tracker.onReport({
            models: models.map(name => ({ name, version: 1, adapters: [] })),
            inMemory,
            onDisk: [],
            loadingAdapters: [],
            isBusy,
            acceptedOrders: 0,
            queued: 0,
            active: 0,
            bornAt: 1,
        });
    }
    return tracker;
};
