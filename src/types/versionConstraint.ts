/** Software versions of the runners to which a request may be sent. */
export interface VersionConstraint {
    /** The only version, for a stream that has begun. */
    readonly only?: string;
    /** Versions at which a stream may not begin. */
    readonly excluded: readonly string[];
}
