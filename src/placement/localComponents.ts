import type { ConfigDecoder } from "../forward/storeObservers";
import type { Controller } from "./controller";
import type { PeerServer } from "./peerServer";

/** Components of this node that the client uses. */
export interface LocalComponents {
    readonly peerServer: PeerServer;
    readonly controller: Controller;
    readonly decodeConfig: ConfigDecoder;
    /** Called when a newer configuration from a peer was applied. */
    readonly onConfig: () => void;
}
