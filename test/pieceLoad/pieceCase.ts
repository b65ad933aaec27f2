import type { PiecePace } from "../fakes/smallPieces";

/** Callers of an upstream that answers without end. */
export interface PieceCase {
    readonly form: string;
    readonly status: number;
    readonly routeKind: string;
    readonly callers: number;
    readonly pace?: PiecePace;
}

/** Describes a case on one line. */
export const describeCase = ({ form, status, routeKind, callers, pace }: PieceCase): string =>
    `${form}, ${status}, ${routeKind}, ${callers} callers${pace ? ", slowly" : ""}`;
