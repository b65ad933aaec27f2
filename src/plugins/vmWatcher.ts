import { toFailure } from "../core/failures";
import type { NodePlugin } from "../node/context";
import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import { repeat } from "../utils/time";

/** Polls the VM list; while it cannot be read, the last list stays in use. */
export const createVmWatcher = (): NodePlugin => ({
    name: "vm-watcher",
    start: async node => {
        const refreshVms = async (): Promise<void> => node.fleet.setVms(await node.vmList.list());
        const onError = (err: unknown) => emit(EventId.VmListFailed, { detail: toFailure(err).detail });
        await refreshVms().catch(onError);
        void repeat(refreshVms, () => node.cfg.vmListPollMs, node.signal, onError);
    },
});
