/** Units that are returned to the bucket that admitted them, as their requests did not run. */
export interface ReturnedUsage {
    readonly customer: string;
    /** Another bucket, such as that of a new home node, never deducted them and ignores them. */
    readonly bucket: string;
    readonly units: number;
}
