import { ContactFailure } from "../types/contactFailure";
import { ContactState } from "../types/contactState";
import { EventId } from "../types/eventId";
import type { ServiceSpec } from "../types/servingConfig";
import type { UpstreamServer } from "../types/upstreamServer";
import { processKey } from "../types/upstreamServer";
import type { UpstreamWord } from "../types/upstreamWord";
import { emit } from "../utils/events";
import { nextTurn, repeat } from "../utils/time";
import { describeError, errorCodeOf } from "../utils/transport";
import type { Gateway } from "./gateway";
import { probeFailureOf } from "./recordFailedConnection";

/** Interval at which the belief is brought up to date. */
const tickIntervalMs = 100;
/** Time in which an upstream has to answer a probe. */
const probeTimeoutMs = 500;

/** Sends a probe over a new connection and calls `onOpened` once that is open; resolves with what any answer says of its upstream. */
export type AskUpstream = (server: UpstreamServer, service: ServiceSpec, signal: AbortSignal, onOpened: () => void) => Promise<UpstreamWord>;

/** Brittle upstreams are probed only if there are fewer others than this. */
const minSturdyTargets = 6;

/** Probes upstreams to find out whether this node reaches any of them over its own links. */
export class ContactMonitor {
    private constructor(private readonly gateway: Gateway, private readonly ask: AskUpstream) {}

    /** Creates a monitor that has not probed any upstream. */
    static create(gateway: Gateway, ask: AskUpstream): ContactMonitor {
        return new ContactMonitor(gateway, ask);
    }

    /** Monitors until the signal aborts. */
    start(signal: AbortSignal): void {
        const step = async (): Promise<void> => {
            // What has arrived by now counts, also if this process is late to read it.
            await nextTurn();
            const { contact, peers } = this.gateway;
            contact.tick(() => this.targets()).forEach(server => void this.probe(server));
            if (contact.cannotSend) {
                peers.reach.check();
            }
        };
        void repeat(step, () => tickIntervalMs, signal, err => emit(EventId.ContactProbeFailed, { detail: errorCodeOf(err) }));
    }

    /** Whether an upstream other than the given one answers over a connection that was opened after a time on the monotonic clock; probes some if none has yet. */
    async confirm(except: UpstreamServer, since: number): Promise<boolean> {
        const { contact } = this.gateway;
        if (!contact.isProvenSince(since)) {
            const targets = contact.proofTargets(() => this.targets().filter(({ id }) => id !== except.id));
            await Promise.all(targets.map(server => this.probe(server)));
            // Where there is no other upstream, nothing speaks for the loss of the path rather than for that of the upstream.
            return targets.length === 0 ? contact.state === ContactState.Held : contact.isProvenSince(since);
        }
        return true;
    }

    private targets(): readonly UpstreamServer[] {
        const { directory, availability, config } = this.gateway;
        const targets = directory.all().filter(server => config?.services.has(server.service) && availability.mayCall(server));
        // A health check may be rejected for want of room, as a request is.
        const sturdy = availability.brittle.size === 0 ? targets : targets.filter(server => availability.brittle.limitOf(server) === undefined);
        return sturdy.length >= minSturdyTargets ? sturdy : targets;
    }

    private async probe(server: UpstreamServer): Promise<void> {
        const { contact, availability, config } = this.gateway;
        const service = config?.services.get(server.service);
        if (!service) {
            return;
        }
        const sentAt = performance.now();
        try {
            const word = await this.ask(server, service, AbortSignal.timeout(probeTimeoutMs), () => contact.onOpened());
            availability.onAnswer(server, word);
            contact.onProbeAnswered(processKey(server), sentAt);
        }
        catch (err) {
            const failure = probeFailureOf(err);
            const detail = failure === ContactFailure.Own ? describeError(err) : errorCodeOf(err);
            emit(EventId.ContactProbeFailed, { upstream: server.id, detail, failure, afterMs: Math.round(performance.now() - sentAt) });
            if (failure === undefined) {
                contact.probeFailure.onUnanswered(sentAt);
            }
            else {
                contact.onProbeFailed(processKey(server), failure);
            }
        }
    }
}
