import { toFailure } from "../core/failures";
import type { Gateway } from "../forward/gateway";
import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import { repeat } from "../utils/time";

/** Interval between two reads of the records of streams until one succeeds, and at which the controller maintains them. */
const streamReadRetryMs = 400;
const streamMaintenanceIntervalMs = 5_000;

/** Reads the records of streams once, and maintains them on the controller. */
export const followStreamVersions = ({ streamVersions, placement, random }: Gateway, signal: AbortSignal): void => {
    const step = async (): Promise<void> => {
        if (!streamVersions.table) {
            await streamVersions.readTable();
        }
        await streamVersions.flush();
        if (placement.isController) {
            await streamVersions.maintain();
        }
    };
    void repeat(
        step,
        () => streamVersions.table ? streamMaintenanceIntervalMs : streamReadRetryMs * (0.5 + random()),
        signal,
        err => emit(EventId.StreamRecordsUnread, { detail: toFailure(err).detail }),
    );
};
