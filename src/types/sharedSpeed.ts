import type { SpeedKind } from "./speedKind";

/** A speed that a node learned, as nodes tell each other: a line with a base and a slope, in ms or as a factor. */
export interface SharedSpeed {
    readonly kind: SpeedKind;
    readonly service: string;
    /** Undefined for what holds for all models of the service. */
    readonly model?: string;
    readonly base: number;
    readonly slope: number;
    readonly ageMs: number;
}
