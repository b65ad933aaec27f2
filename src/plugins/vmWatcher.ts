import { toFailure } from "../core/failures";
import type { NodePlugin } from "../node/context";
import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import { repeat } from "../utils/time";

/** Follows the platform's VM list; the last list stays in force while it cannot be read. */
export const createVmWatcher = (): NodePlugin => ({
    name: "vm-watcher",
    start: async node => {
        const read = async (): Promise<void> => node.fleet.setVms(await node.vmList.list());
        const onError = (err: unknown) => emit(EventId.VmListFailed, { detail: toFailure(err).detail });
        await read().catch(onError);
        void repeat(read, () => node.cfg.vmListPollMs, node.signal, onError);
    },
});
