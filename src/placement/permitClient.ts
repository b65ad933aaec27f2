import { toFailure } from "../core/failures";
import type { RequestPacer } from "../core/requestPacer";
import { EventId } from "../types/eventId";
import type { Permit, PermitRequest } from "../types/sendPermit";
import { emit } from "../utils/events";
import { rankByHashCached } from "../utils/hash";
import { decodePermit } from "./peerAnswerDecoder";
import type { PeerClients } from "./peerClients";

/** Time for which a peer that did not answer is not asked. */
const failedPeerMs = 2_000;
/** Peers that are asked for one permit, in the order of their rank for the runner. */
const maxAskedPeers = 2;

/** The nodes among which each runner's pacer is chosen. */
export interface PacerNodes {
    readonly self: string;
    /** Addresses of all nodes including this one, or those of the seeds while only these are known. */
    readonly addresses: readonly string[];
}

/** Asks for turns at runners that have named a limit: at one node for each runner, which all nodes find by rendezvous hashing. */
export class PermitClient {
    private readonly failedUntil = new Map<string, number>();

    private constructor(private readonly clients: PeerClients, private readonly pacer: RequestPacer, private readonly nodes: () => PacerNodes) {}

    /** Creates a client; the pacer gives the turns at the runners that this node paces itself. */
    static create(clients: PeerClients, pacer: RequestPacer, nodes: () => PacerNodes): PermitClient {
        return new PermitClient(clients, pacer, nodes);
    }

    /** The next turn at a runner. A node that reaches none of the pacers paces its own share of the limit. */
    async acquire(req: PermitRequest): Promise<Permit> {
        const { self, addresses } = this.nodes();
        const now = performance.now();
        const ranked = rankByHashCached(req.runner, addresses).filter(address => (this.failedUntil.get(address) ?? 0) <= now);
        for (const address of ranked.slice(0, maxAskedPeers)) {
            if (address === self) {
                return this.pacer.reserve(req);
            }
            try {
                return decodePermit(await this.clients.get(address).permit.mutate(req));
            }
            catch (err) {
                this.failedUntil.set(address, performance.now() + failedPeerMs);
                emit(EventId.PeerExchangeFailed, { peer: address, runner: req.runner, detail: toFailure(err).detail });
            }
        }
        return this.pacer.reserve({ ...req, perSecond: req.perSecond / Math.max(1, addresses.length) });
    }
}
