import type { ControllerLease } from "../core/controllerLease";
import type { UpstreamContact } from "../core/upstreamContact";
import { ContactState } from "../types/contactState";
import type { ReportedNodes } from "./reportedNodes";

/**
 * Renews the lease, or tries to take it if the controller does not respond. A controller that is cut off from the runners hands the lease over once a node has
 * reported that it reaches them; if none does, another one could do no more.
 */
export const tickLease = async (
    lease: ControllerLease,
    { state }: Pick<UpstreamContact, "state">,
    nodes: Pick<ReportedNodes, "someReachUpstreams">,
    isControllerResponding: boolean,
): Promise<void> => {
    if (lease.heldEpoch !== undefined && state === ContactState.Lost && nodes.someReachUpstreams) {
        await lease.handOver();
    }
    else if (lease.heldEpoch !== undefined || !isControllerResponding) {
        await lease.tick();
    }
};
