import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";
import type { NodeContext, NodePlugin } from "../node/context";
import { EventId } from "../types/eventId";
import type { HttpRoute } from "../types/httpExchange";
import { RequestMetric } from "../types/requestMetric";
import { isInvariantEvent, observeEvents } from "../utils/events";
import { getOrCreate } from "../utils/maps";

const requestBucketsS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.55, 1, 2.5, 5, 10, 30];
const tokenGapBucketsS = [0.001, 0.005, 0.01, 0.02, 0.042, 0.08, 0.16, 0.5, 2];

/** A gauge whose value is read at each scrape. */
export interface GaugeSpec {
    readonly name: string;
    readonly help: string;
    readonly read: () => number;
}

/** Metrics of a node: counters by reason for refusals and failed attempts, and by number for events and broken invariants; gauges of its state. */
export class Metrics implements NodePlugin {
    readonly name = "metrics";
    private readonly registry = new Registry();
    private readonly registers = [this.registry];
    private hasDefaultMetrics = false;
    private readonly refusals = new Counter({
        name: "jackdawtrail_refusals_total",
        help: "Requests refused, by reason and verdict",
        labelNames: ["reason", "verdict"],
        registers: this.registers,
    });
    private readonly failedAttempts = new Counter({
        name: "jackdawtrail_failed_attempts_total",
        help: "Attempts that failed and may be retried, by reason and verdict",
        labelNames: ["reason", "verdict"],
        registers: this.registers,
    });
    private readonly ignoredEntries = new Counter({
        name: "jackdawtrail_ignored_entries_total",
        help: "Entries of the directory that name no upstream to use, from the store or a peer, by reason",
        labelNames: ["source", "reason"],
        registers: this.registers,
    });
    private readonly relayedAttempts = new Counter({
        name: "jackdawtrail_relayed_attempts_total",
        help: "Attempts through a peer, by outcome and reason",
        labelNames: ["outcome", "reason"],
        registers: this.registers,
    });
    private readonly refusedRelays = new Counter({
        name: "jackdawtrail_refused_relays_total",
        help: "Requests of peers that this node did not take, by reason",
        labelNames: ["reason"],
        registers: this.registers,
    });
    private readonly refusedKeys = new Counter({
        name: "jackdawtrail_refused_keys_total",
        help: "Requests refused for their API key, by reason; `unconfirmed` if the configuration is too old to know",
        labelNames: ["reason"],
        registers: this.registers,
    });
    private readonly internalErrors = new Counter({
        name: "jackdawtrail_internal_errors_total",
        help: "Internal errors on a request's way, by step and by whether they ended the request or one attempt",
        labelNames: ["step", "ended"],
        registers: this.registers,
    });
    private readonly unanswered = new Counter({
        name: "jackdawtrail_requests_unanswered_total",
        help: "Requests that ended without a whole answer, by their step and by who ended the connection",
        labelNames: ["step", "closer"],
        registers: this.registers,
    });
    private readonly events = new Counter({ name: "jackdawtrail_events_total", help: "Numbered log events", labelNames: ["event"], registers: this.registers });
    private readonly invariants = new Counter({
        name: "jackdawtrail_broken_invariants_total",
        help: "Broken invariants, by event number",
        labelNames: ["event"],
        registers: this.registers,
    });
    private readonly answerChunks = new Counter({ name: "jackdawtrail_answer_pieces_total", help: "Pieces of answers passed on", registers: this.registers });
    private readonly histograms: Readonly<Record<RequestMetric, Histogram>> = {
        [RequestMetric.FirstToken]: new Histogram({
            name: "jackdawtrail_first_token_seconds",
            help: "Time from the request to the first token",
            buckets: requestBucketsS,
            registers: this.registers,
        }),
        [RequestMetric.BetweenTokens]: new Histogram({
            name: "jackdawtrail_between_tokens_seconds",
            help: "Time between two tokens",
            buckets: tokenGapBucketsS,
            registers: this.registers,
        }),
        [RequestMetric.Total]: new Histogram({
            name: "jackdawtrail_request_seconds",
            help: "Time from the request to the end of the answer",
            buckets: requestBucketsS,
            registers: this.registers,
        }),
    };
    private readonly eventCounts = new Map<EventId, number>();

    private rendering: Promise<{ readonly text: string; readonly contentType: string; }> | undefined;

    private constructor() {
        observeEvents((event, fields) => {
            this.events.inc({ event });
            this.eventCounts.set(event, getOrCreate(this.eventCounts, event, () => 0) + 1);
            if (event === EventId.RequestRefused) {
                this.refusals.inc({ reason: String(fields.kind), verdict: String(fields.verdict) });
            }
            else if (event === EventId.AttemptFailed) {
                this.failedAttempts.inc({ reason: String(fields.kind), verdict: String(fields.verdict) });
            }
            else if (event === EventId.RequestAnswered) {
                this.observe(RequestMetric.FirstToken, Number(fields.firstByteMs));
                this.observe(RequestMetric.Total, Number(fields.afterMs));
            }
            else if (event === EventId.RequestUnanswered) {
                this.unanswered.inc({ step: String(fields.step), closer: String(fields.closer) });
            }
            else if (event === EventId.UpstreamRowIgnored || event === EventId.PeerEntryIgnored) {
                this.ignoredEntries.inc({ source: event === EventId.UpstreamRowIgnored ? "store" : "peer", reason: String(fields.reason) });
            }
            else if (event === EventId.RelayEnded) {
                this.relayedAttempts.inc({ outcome: String(fields.outcome), reason: String(fields.reason) });
            }
            else if (event === EventId.RelayRefused) {
                this.refusedRelays.inc({ reason: String(fields.reason) });
            }
            else if (event === EventId.KeyRefused || event === EventId.KeyUnconfirmed) {
                this.refusedKeys.inc({ reason: event === EventId.KeyRefused ? String(fields.reason) : "unconfirmed" });
            }
            else if (event === EventId.RequestFailed || event === EventId.AttemptStepFailed) {
                this.internalErrors.inc({ step: String(fields.step), ended: event === EventId.RequestFailed ? "request" : "attempt" });
            }
            else if (isInvariantEvent(event)) {
                this.invariants.inc({ event });
            }
        });
    }

    /** Creates the metrics of a process. */
    static create(): Metrics {
        return new Metrics();
    }

    /** Records a measured time of a request. */
    observe(metric: RequestMetric, ms: number): void {
        this.histograms[metric].observe(ms / 1_000);
        if (metric !== RequestMetric.Total) {
            this.answerChunks.inc();
        }
    }

    start(node: NodeContext): void {
        this.registerGauges([
            { name: "config_sequence", help: "Sequence of the configuration in force", read: () => node.config.sequence },
            { name: "requests_in_progress", help: "Requests in progress", read: () => node.inProgress },
            { name: "requests_queued", help: "Requests that wait for an upstream", read: () => node.queue.length },
            { name: "runners_known", help: "Runners on the VM list", read: () => node.fleet.runners().length },
            { name: "copies_draining", help: "Copies that this node's stewardship takes out of routing", read: () => node.drains.length },
        ]);
    }

    /** Registers gauges, in place of earlier ones of the same names, and the default metrics of the Node.js runtime. */
    registerGauges(gauges: readonly GaugeSpec[]): void {
        if (!this.hasDefaultMetrics) {
            this.hasDefaultMetrics = true;
            collectDefaultMetrics({ register: this.registry });
        }
        for (const { name: ownName, help, read } of gauges) {
            const name = `jackdawtrail_${ownName}`;
            this.registry.removeSingleMetric(name);
            new Gauge({
                name,
                help,
                registers: this.registers,
                collect() {
                    this.set(read());
                },
            });
        }
    }

    /** Renders the metrics as text with its content type; readers that ask meanwhile share the text. */
    render(): Promise<{ readonly text: string; readonly contentType: string; }> {
        this.rendering ??= this.renderOnce().finally(() => this.rendering = undefined);
        return this.rendering;
    }

    private async renderOnce(): Promise<{ readonly text: string; readonly contentType: string; }> {
        return { text: await this.registry.metrics(), contentType: this.registry.contentType };
    }

    /** Returns the route at which the metrics are scraped. */
    route(): HttpRoute {
        return {
            path: "/metrics",
            methods: ["GET"],
            handle: async ({ res }) => {
                const { text, contentType } = await this.render();
                res.writeHead(200, { "content-type": contentType });
                res.end(text);
            },
        };
    }
}
