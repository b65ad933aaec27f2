import type { IncomingMessage, ServerResponse } from "node:http";
import { ContactState } from "../types/contactState";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import type { RelayedRequest } from "../types/relayedRequest";
import { RelayRefusal } from "../types/relayRefusal";
import { Verdict } from "../types/verdict";
import { emit } from "../utils/events";
import { answerFailure } from "./answerFailure";
import type { Gateway } from "./gateway";
import { contactQuestion, decodeRelayed, relayHeader } from "./relayHeaders";
import { RequestProgress } from "./requestProgress";
import type { RequestReception } from "./requestReception";

/** A request whose header cannot be read, for the answer. */
const unreadable: RelayedRequest = { node: "", elapsedMs: 0, remainingMs: 0, configVersion: 0, service: "", maxRuns: 1 };

/** Answers to a peer that asks whether this node reaches upstreams. */
const reachableStatus = 200;
const unreachableStatus = 503;

/** Prefix of an IPv4 address on a socket that takes both versions. */
const mappedPrefix = "::ffff:";

/** Takes callers' requests that peers pass on, as they do not reach the upstreams. They get no more rights than callers' own. */
export class RelayIntake {
    private refusedCount = 0;

    private constructor(
        private readonly gateway: Gateway,
        private readonly reception: RequestReception,
        private readonly isReporting: (host: string) => boolean,
    ) {}

    /** Creates the intake of a node; `isReporting` says whether a node that reports to this one has a host. */
    static create(gateway: Gateway, reception: RequestReception, isReporting: (host: string) => boolean = () => false): RelayIntake {
        return new RelayIntake(gateway, reception, isReporting);
    }

    /** Whether a request on the port for peers is passed on by one. */
    isRelayed({ headers }: IncomingMessage): boolean {
        return headers[relayHeader] !== undefined;
    }

    /** Answers a request that a peer passes on, or its question whether this node reaches upstreams. */
    handle(req: IncomingMessage, res: ServerResponse): void {
        if (req.headers[relayHeader] === contactQuestion && this.isKnown(req)) {
            const { contact, isStopping } = this.gateway;
            const isReaching = contact.state === ContactState.Held && !isStopping;
            res.writeHead(isReaching ? reachableStatus : unreachableStatus, { "Content-Length": 0 }).end();
            return;
        }
        const relayed = decodeRelayed(req.headers);
        const refusal = this.refusalOf(req, relayed);
        if (!relayed || refusal) {
            this.refuse(req, res, relayed ?? unreadable, refusal ?? RelayRefusal.Malformed);
            return;
        }
        const { keyDigest, ...logged } = relayed;
        emit(EventId.RequestTakenOver, {
            request: this.gateway.wire.decodeCaller(req.headers).requestId,
            ...logged,
            hasKey: keyDigest !== undefined,
            peer: req.socket.remoteAddress,
        });
        void this.reception.handle(req, res, relayed);
    }

    private isKnown({ socket }: IncomingMessage): boolean {
        const host = (socket.remoteAddress ?? "").replace(mappedPrefix, "");
        return this.gateway.peers.choice.isKnownHost(host) || this.isReporting(host);
    }

    private refusalOf(req: IncomingMessage, relayed: RelayedRequest | undefined): RelayRefusal | undefined {
        const { gateway } = this;
        if (!this.isKnown(req)) {
            return RelayRefusal.UnknownSender;
        }
        if (!relayed) {
            return RelayRefusal.Malformed;
        }
        if (gateway.contact.state !== ContactState.Held) {
            return RelayRefusal.NoContact;
        }
        return gateway.config !== undefined && gateway.config.version < relayed.configVersion ? RelayRefusal.OlderConfig : undefined;
    }

    private refuse(req: IncomingMessage, res: ServerResponse, relayed: RelayedRequest, reason: RelayRefusal): void {
        const { gateway } = this;
        const progress = RequestProgress.create(() => gateway.exitDeadlineAt, relayed);
        progress.requestId = gateway.wire.decodeCaller(req.headers).requestId;
        emit(EventId.RelayRefused, {
            request: progress.requestId,
            node: relayed.node,
            peer: req.socket.remoteAddress,
            reason,
            contact: gateway.contact.state,
            configVersion: gateway.config?.version,
            askedVersion: relayed.configVersion,
            count: ++this.refusedCount,
        });
        res.on("error", () => undefined);
        answerFailure(res, progress, { kind: FailureKind.RelayRefused, verdict: Verdict.NotRun, detail: reason });
    }
}
