import type { CopyPlanInputs } from "../core/copyPlanInputs";
import type { CopyStep } from "../core/copyStep";
import { turnValue } from "../core/copyValues";
import { EventId } from "../types/eventId";
import { emit } from "../utils/events";

/** Logs an unload that gives its memory to a model that has waited for a turn. */
export const logTurn = ({ runner, model, freesMemoryFor }: CopyStep, { demand, awaitedMs }: Pick<CopyPlanInputs, "demand" | "awaitedMs">): void => {
    const waitedMs = freesMemoryFor === undefined ? 0 : awaitedMs?.get(freesMemoryFor) ?? 0;
    if (freesMemoryFor !== undefined && turnValue(waitedMs) > 0) {
        emit(EventId.CopyTurnGiven, {
            runner,
            model: freesMemoryFor,
            unloaded: model,
            awaitedMs: Math.round(waitedMs),
            load: demand.loadOf(freesMemoryFor).toFixed(3),
            unloadedLoad: demand.loadOf(model).toFixed(3),
            unloadedIdleMs: Math.round(Math.min(demand.idleMs(model), 1e6)),
        });
    }
};
