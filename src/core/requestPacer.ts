import type { Permit, PermitRequest } from "../types/sendPermit";
import { UpstreamRooms } from "./upstreamRooms";

/** Runners whose next turn is remembered; beyond this, those with the earliest turns are forgotten. */
const maxRunners = 4_096;
const msPerSecond = 1_000;
/** Turns at a runner that takes no requests, so that its answer tells when it does again. */
const recheckPerS = 0.1;

/**
 * Gives turns at runners that have named a limit, evenly spaced, and places at those that are brittle. One node does so for each runner, so that the limit holds for
 * all nodes together.
 */
export class RequestPacer {
    /** The places of brittle runners. */
    readonly rooms = UpstreamRooms.create();
    private readonly nextTurnAt = new Map<string, number>();

    private constructor() {}

    static create(): RequestPacer {
        return new RequestPacer();
    }

    /** Number of runners whose next turn is remembered. */
    get size(): number {
        return this.nextTurnAt.size;
    }

    /** Gives a place if the runner is brittle, and the next turn if it has named a limit. A place without a turn is given back. */
    async acquire(req: PermitRequest): Promise<Permit> {
        const { runner, place } = req;
        const permit = place ? await this.rooms.take(runner, place) : undefined;
        if (permit?.isGranted === false) {
            return permit;
        }
        const turn = this.reserve(req);
        if (place && !turn.isGranted) {
            this.rooms.report({ node: place.node, returned: [{ runner, id: place.id, isRejected: false }], unplaced: [] });
        }
        return permit?.hasTerms === true && turn.isGranted ? { ...turn, hasTerms: true } : turn;
    }

    /** Gives the next turn, unless it would be too late for the request. */
    reserve({ runner, perSecond, maxWaitMs }: PermitRequest): Permit {
        if (perSecond === undefined) {
            return { isGranted: true, waitMs: 0 };
        }
        const now = performance.now();
        const turnAt = Math.max(now, this.nextTurnAt.get(runner) ?? now);
        const waitMs = turnAt - now;
        if (waitMs > maxWaitMs) {
            return { isGranted: false, waitMs };
        }
        this.nextTurnAt.delete(runner);
        this.nextTurnAt.set(runner, turnAt + msPerSecond / (perSecond > 0 ? perSecond : recheckPerS));
        this.removePast(now);
        return { isGranted: true, waitMs };
    }

    private removePast(now: number): void {
        for (const [runner, turnAt] of this.nextTurnAt) {
            if (turnAt > now && this.nextTurnAt.size <= maxRunners) {
                break;
            }
            this.nextTurnAt.delete(runner);
        }
    }
}
