import type { UpstreamContact } from "../core/upstreamContact";
import type { UpstreamTraffic } from "../core/upstreamTraffic";
import { ContactState } from "../types/contactState";
import type { UpstreamConnectionPool } from "./upstreamConnectionPool";

/** Takes back what failures said of each upstream once the path to all of them, which was lost, is there again. */
export const forgetFailuresOnRegain = (
    contact: UpstreamContact,
    traffics: ReadonlyMap<string, UpstreamTraffic>,
    pools: ReadonlyMap<string, UpstreamConnectionPool>,
): void =>
    contact.observe((state, previous) => {
        if (state === ContactState.Held && previous === ContactState.Lost) {
            traffics.forEach(traffic => traffic.forgetFailures());
            pools.forEach(pool => pool.onPathLost());
        }
    });
