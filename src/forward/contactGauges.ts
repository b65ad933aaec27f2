import type { GaugeSpec } from "../plugins/metrics";
import { ContactState } from "../types/contactState";
import type { Gateway } from "./gateway";

const valueOf: Readonly<Record<ContactState, number>> = { [ContactState.Held]: 0, [ContactState.Doubted]: 1, [ContactState.Lost]: 2 };

/** Gauges of what this node believes of its own path to the upstreams. */
export const contactGauges = ({ contact }: Gateway): readonly GaugeSpec[] => [
    { name: "upstream_contact", help: "This node's own path to the upstreams: 0 held, 1 doubted, 2 lost", read: () => valueOf[contact.state] },
    { name: "upstream_contact_probes", help: "Probes of this node's path to the upstreams since the start", read: () => contact.probeCount },
    { name: "upstream_contact_losses", help: "How often the path to the upstreams was lost since the start", read: () => contact.lossCount },
];
