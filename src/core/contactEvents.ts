import { ContactState } from "../types/contactState";
import { EventId } from "../types/eventId";

/** The event of each change of what a node believes of its path to the upstreams. */
export const contactEvents: Readonly<Record<ContactState, EventId>> = {
    [ContactState.Held]: EventId.UpstreamContactHeld,
    [ContactState.Doubted]: EventId.UpstreamContactDoubted,
    [ContactState.Lost]: EventId.UpstreamContactLost,
};
