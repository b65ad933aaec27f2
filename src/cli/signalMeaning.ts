/** What a signal asks of a node. */
export enum SignalMeaning {
    /** To read its settings again. */
    Reload = "reload",
    /** To stop gracefully. */
    Stop = "stop",
    /** Nothing; its default action would end the process. */
    None = "none",
}
