import type { UsageCharge } from "./usageCharge";

/** Charges that a node asks another one to admit. */
export interface UsageRequest {
    /** Zone of the asking node. */
    readonly zone: string;
    readonly charges: readonly UsageCharge[];
    /** Whether the asked node must answer by itself: charges are passed on once at most. */
    readonly isFinal: boolean;
}
