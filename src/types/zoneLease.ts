/** Row of a lease. The term increases with each new holder; fencing numbers are derived from it. */
export interface ZoneLeaseRow {
    readonly holder: string;
    readonly term: number;
    readonly expiresAt: number;
}
