/** Why a request does not leave its zone for another one. */
export enum ZoneRefusal {
    /** It was passed on by a peer, which may be in another zone. */
    PassedOn = "passed_on",
    /** Nothing was heard of the other zone's load lately. */
    OldFigures = "old_figures",
    /** The other zone's upstreams would take longer than its own callers' objectives allow. */
    ReceiverBusy = "receiver_busy",
    /** The share of requests that may leave is used up. */
    Share = "share",
}
