import { RequestPacer } from "../core/requestPacer";
import { UsageHomes } from "../core/usageHomes";
import type { PlacementAnswer, PlacementRequest } from "../types/placement";
import type { Permit, PermitRequest, ReturnedPlace } from "../types/sendPermit";
import type { UsageAnswer } from "../types/usageAnswer";
import type { UsageCharge } from "../types/usageCharge";

/** Places models and adapters on runners as requests need them. */
export interface Placement {
    place(req: PlacementRequest): Promise<PlacementAnswer>;
    /** Adds a request's estimated work to the demand for an artifact, in milliseconds of a runner's time. */
    countWork(artifact: string, workMs: number): void;
    /** Requests a turn at a runner that has named a limit, or a place at one that is brittle. */
    acquirePermit(req: PermitRequest): Promise<Permit>;
    /** Gives a place at a brittle runner back, or tells of a request without one that was rejected. */
    returnPlace(place: ReturnedPlace): void;
    /** Charges a request to its customer, before it is queued. */
    chargeUsage(charge: UsageCharge): Promise<UsageAnswer>;
    /** Returns a charge whose request did not run. */
    returnUsage(charge: UsageCharge, answer: UsageAnswer): void;
    /** Whether this node is the controller. */
    readonly isController: boolean;
}

/** Turns that a node without a controller gives itself. */
const ownPacer = RequestPacer.create();
/** Customers' usage at a node that has no others. */
const ownHomes = UsageHomes.create("", Math.random);
const ownSince = performance.now();
/** The placement of a node that takes no part in it. */
export const disabledPlacement: Placement = {
    place: () => Promise.resolve({ readyInMs: 0, isComing: false }),
    countWork: () => {},
    acquirePermit: req => ownPacer.acquire(req.place ? { ...req, place: { ...req.place, unplaced: 0 } } : req),
    returnPlace: place => ownPacer.rooms.report({ node: "", returned: [place], unplaced: [] }),
    chargeUsage: charge => Promise.resolve(ownHomes.charge(charge, ownSince)),
    returnUsage: ({ customer, units }, { bucket }) => bucket !== undefined && ownHomes.giveBack({ customer, units, bucket }),
    isController: false,
};
