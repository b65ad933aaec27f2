/** Why a node does not take a request from a peer; the request has not run. */
export enum RelayRefusal {
    /** The node does not reach upstreams itself. */
    NoContact = "no-contact",
    /** Its configuration is older than that of the peer. */
    OlderConfig = "older-config",
    /** The sender is not a known node. */
    UnknownSender = "unknown-sender",
    /** What the peer says of the request cannot be read. */
    Malformed = "malformed",
}
