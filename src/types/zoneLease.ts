/** A lease row. The term rises with each new holder and serves as the fencing number. */
export interface ZoneLeaseRow {
    readonly holder: string;
    readonly term: number;
    readonly expiresAt: number;
}
