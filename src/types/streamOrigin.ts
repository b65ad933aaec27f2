/** How the software version that began a stream is known. */
export enum OriginSource {
    /** This node began the stream. */
    Own = "own",
    /** A node recorded it before the stream began. */
    Record = "record",
    /** No node recorded another version, so the service's base version began it. */
    Base = "base",
    /** The service has had one version only. */
    OnlyVersion = "only-version",
}

/** The software version that began a stream; undefined if it cannot be known. */
export type StreamOrigin =
    | { readonly version: string; readonly source: OriginSource; }
    | { readonly version: undefined; readonly detail: string; };
