/** A versioned part of an origin's digest; the origin is a node of the zone, or another zone as a whole. The higher version wins. */
export interface DigestPart {
    readonly origin: string;
    readonly name: string;
    readonly version: number;
    readonly value: unknown;
}

/** The newest version held of each origin. */
export type DigestSummary = Readonly<Record<string, number>>;

/** One message of an exchange: the versions that the sender holds, and the parts that the receiver lacks. */
export interface DigestMessage {
    readonly summary: DigestSummary;
    readonly parts: readonly DigestPart[];
}
