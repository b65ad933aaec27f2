import { toFailure } from "../core/failures";
import type { Gateway } from "../forward/gateway";
import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import type { PeerClients } from "./peerClients";
import type { PeerServer } from "./peerServer";

/** Announces to the known nodes that this one has become controller, so that they need not read the lease row. */
export class ControllerAnnouncer {
    private constructor(private readonly gateway: Gateway, private readonly peerServer: PeerServer, private readonly clients: PeerClients) {}

    /** Creates an announcer that has announced nothing. */
    static create(gateway: Gateway, peerServer: PeerServer, clients: PeerClients): ControllerAnnouncer {
        return new ControllerAnnouncer(gateway, peerServer, clients);
    }

    /** Announces an epoch once; undefined if this node does not hold the lease. */
    announce(epoch: number | undefined, addresses: readonly string[]): void {
        const { peerAddress } = this.gateway.settings;
        if (epoch === undefined || epoch === this.peerServer.latestAnnouncement?.epoch) {
            return;
        }
        const announcement = { peerAddress, epoch };
        this.peerServer.recordAnnouncement(announcement);
        for (const address of addresses) {
            this.clients.get(address).announce.mutate(announcement)
                .catch((err: unknown) => emit(EventId.PeerExchangeFailed, { controller: peerAddress, peer: address, detail: toFailure(err).detail }));
        }
    }
}
