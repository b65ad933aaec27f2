/** Why the key of a request names no customer. */
export enum KeyFault {
    Missing = "missing",
    Empty = "empty",
    Repeated = "repeated",
    Unknown = "unknown",
    /** The key was known when the request was read, and a later configuration lacks it. */
    Withdrawn = "withdrawn",
}
