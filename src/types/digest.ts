/** A versioned part of what one node tells its peers; the higher version wins. */
export interface DigestPart {
    readonly key: string;
    readonly version: number;
    readonly value: unknown;
}

/** The versions that a node holds, by key. */
export type DigestSummary = Readonly<Record<string, number>>;

/** One message of an exchange: what the sender holds, and the parts that it thinks the other lacks. */
export interface DigestMessage {
    readonly from: string;
    readonly summary: DigestSummary;
    readonly parts: readonly DigestPart[];
}
