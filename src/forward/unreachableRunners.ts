import type { Gateway } from "./gateway";

/** Of the runners that a request has tried, those that other nodes should not reach either: a new connection to another upstream worked after theirs failed. */
export const unreachableRunners = (gateway: Pick<Gateway, "contact" | "trafficOf">, tried: ReadonlySet<string>): readonly string[] =>
    [...tried].filter(id => {
        const { isUnreachable, unreachableAt } = gateway.trafficOf(id);
        return isUnreachable && gateway.contact.vouchesFor(unreachableAt);
    });
