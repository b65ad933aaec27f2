/** Whether this node reaches upstreams over its own links. */
export enum ContactState {
    Held = "held",
    /** Connections fail or nothing arrives, and it is not known yet whether upstreams or this node's links are the reason. */
    Doubted = "doubted",
    /** No upstream answers over this node's links. */
    Lost = "lost",
}
