/** What a process keeps in memory for its callers and upstreams. */
export enum MemoryHolder {
    /** Bodies of requests, from before they are read until their request ends. */
    Bodies = "bodies",
    /** Bytes of bodies that wait for memory; the runtime reads some ahead. */
    UnreadBodies = "unread_bodies",
    /** Bodies of requests that others on their connection are ahead of, as far as they were read. */
    AheadBodies = "ahead_bodies",
    /** Answers that are kept until they are complete, and incomplete events. */
    Answers = "answers",
    /** Answers of the store, peers and runners to the node's own questions, while they are read. */
    OwnAnswers = "own_answers",
    /** Events of streams that their callers have not taken yet. */
    UntakenEvents = "untaken_events",
    CallerConnections = "caller_connections",
    UpstreamConnections = "upstream_connections",
}
