/** Who answers a question that the node asks for itself, not for a caller. */
export enum OwnAnswerKind {
    Store = "store",
    Peer = "peer",
    Runner = "runner",
}
