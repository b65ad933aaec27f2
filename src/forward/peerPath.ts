import { ContactState } from "../types/contactState";
import { FailureKind } from "../types/failureKind";
import { RelayRefusal } from "../types/relayRefusal";
import { AttemptOutcome, unsentOutcomes } from "./attemptOutcome";
import type { Call } from "./call";
import { mayRepeat } from "./call";
import type { Gateway } from "./gateway";
import type { Refusal } from "./refusal";

/** Mean time after which a caller may come back: this node may reach upstreams or a peer again, and other nodes do. */
const unreachableRetryAfterMs = 500;
/** A peer asks another one at once. */
const strandedRetryAfterMs = 50;

/** Why a request is refused that neither this node nor a peer can send to an upstream. */
export const unreachableRefusal: Refusal = {
    kind: FailureKind.UpstreamsUnreachable,
    detail: "no upstream can be reached over this node's links, and no peer takes the request",
    retryAfterMs: unreachableRetryAfterMs,
};

/** Why a request that a peer passed on is handed back: this node does not reach upstreams either. */
export const strandedRefusal: Refusal = { kind: FailureKind.RelayRefused, detail: RelayRefusal.NoContact, retryAfterMs: strandedRetryAfterMs, isSpread: true };

/** Whether no upstream answers over this node's links. */
export const isPathLost = ({ contact }: Gateway): boolean => contact.state === ContactState.Lost;

/** Whether a request that a peer passed on cannot be sent, as this node has lost the upstreams as well. */
export const isStranded = (gateway: Gateway, { progress }: Call): boolean => progress.relayed !== undefined && isPathLost(gateway);

/** Whether a caller's request goes through a peer without a direct attempt. One that a peer passed on is never passed on again. */
export const goesThroughPeer = ({ contact }: Gateway, { progress, route }: Call): boolean => {
    const { state } = contact;
    return progress.relayed === undefined && (state === ContactState.Lost || (state === ContactState.Doubted && !mayRepeat(route)));
};

/** Outcomes of attempts of which no upstream said anything. */
const unansweredOutcomes: ReadonlySet<AttemptOutcome> = new Set([...unsentOutcomes, AttemptOutcome.MayHaveRun]);

/** Whether a caller's request goes on through a peer after a direct attempt: in doubt if that was not answered. */
export const goesOnThroughPeer = (gateway: Gateway, call: Call, outcome: AttemptOutcome): boolean =>
    goesThroughPeer(gateway, call) ||
    (call.progress.relayed === undefined && gateway.contact.state !== ContactState.Held && unansweredOutcomes.has(outcome));
