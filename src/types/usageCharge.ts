/** What a request takes from the allowance of its customer. */
export interface UsageCharge {
    readonly customer: string;
    readonly units: number;
    /** The limit as the asking node knows it, and the version of the configuration that states it. */
    readonly perSecond: number;
    readonly burst: number;
    readonly configVersion: number;
}
