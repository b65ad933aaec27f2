import { ConfirmationWatch } from "../forward/confirmationWatch";
import type { Gateway } from "../forward/gateway";

/** Interval at which the heap is checked, beside the checks of requests. */
const heapCheckIntervalMs = 500;
/** Interval at which the age of the configuration is checked for the log; requests check it themselves. */
const confirmationCheckIntervalMs = 250;

/** Checks the state of a node at intervals until the signal aborts. */
export const startWatches = (gateway: Gateway, signal: AbortSignal): void => {
    const confirmationWatch = ConfirmationWatch.create(gateway);
    const timers = [
        setInterval(() => gateway.heapWatch.check(), heapCheckIntervalMs),
        setInterval(() => confirmationWatch.check(), confirmationCheckIntervalMs),
    ];
    void gateway.turnWatch.run(signal);
    signal.addEventListener("abort", () => timers.forEach(timer => clearInterval(timer)), { once: true });
};
