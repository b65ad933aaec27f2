import type { UpstreamChoice } from "../core/chooseUpstream";
import type { ReportedLoad } from "../types/requestHeaderCodec";
import type { Call } from "./call";
import type { Gateway } from "./gateway";

/** A reported pace is taken for that of the present work for this long: it changes many times a second. */
const maxPaceAgeMs = 300;
/** One of so many gaps between events is a sample. */
const gapInterval = 4;
/** Prefill that may be queued at a runner before a request whose first event shows the speed. */
const maxQueuedPrefillMs = 5;

/** Learns the speeds of upstreams from the responses to one request, while the upstreams report their pace. */
export class SpeedObserver {
    private choice: UpstreamChoice | undefined;
    private sentAt = 0;
    private gaps = 0;
    /** Whether the upstream had nothing else to do first when the request was sent. */
    private wasFree = false;

    private constructor(private readonly gateway: Gateway, private readonly call: Call) {}

    /** Creates the observer of a request's attempts. */
    static create(gateway: Gateway, call: Call): SpeedObserver {
        return new SpeedObserver(gateway, call);
    }

    /** An attempt is about to be sent. */
    onSend(choice: UpstreamChoice): void {
        const { traffic, server } = choice.candidate;
        this.choice = choice;
        this.sentAt = performance.now();
        this.wasFree = traffic.waitingPrefillMs <= maxQueuedPrefillMs && traffic.waiting === 0 && traffic.load < Math.max(1, server.slots);
    }

    /** The head of an answer arrived whose request ran. */
    onHead(load: ReportedLoad | undefined): void {
        if (this.wasFree && load?.pace !== undefined && !this.call.caller.modelRequest) {
            this.gateway.learnedSpeeds.onPlain(this.call.service, (performance.now() - this.sentAt) / load.pace);
        }
    }

    /** The first event of a stream arrived. */
    onFirstEvent(): void {
        const { choice, call } = this;
        if (choice && this.wasFree && this.knowsPace(choice) && call.caller.lastEventId === undefined) {
            const { traffic, prefillTokens, timeFactor } = choice.candidate;
            this.gateway.learnedSpeeds.onFirstEvent(call.service, prefillTokens, (performance.now() - this.sentAt) / traffic.pace / timeFactor);
        }
    }

    /** An event followed another one after a time. */
    onEventGap(gapMs: number): void {
        const { choice, call: { caller: { modelRequest }, service } } = this;
        if (choice && modelRequest && this.knowsPace(choice) && this.gaps++ % gapInterval === 0) {
            const { traffic, tokensPerEvent } = choice.candidate;
            this.gateway.learnedSpeeds.onStep(service, modelRequest.model, traffic.load, gapMs / traffic.pace / tokensPerEvent);
        }
    }

    private knowsPace({ candidate: { traffic } }: UpstreamChoice): boolean {
        return traffic.reportsPace && traffic.reportAgeMs <= maxPaceAgeMs;
    }
}
