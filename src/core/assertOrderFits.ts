import { EventId } from "../types/eventId";
import type { RunnerOrder } from "../types/runner";
import { RunnerOrderKind } from "../types/runner";
import type { EngineSpec } from "../types/servingConfig";
import { assertInvariant } from "../utils/invariants";
import { loadSizeOf } from "./loadSize";
import type { RunnerTracker } from "./runnerTracker";

/** Asserts that an order fits into the memory and adapter slots of a runner, whatever the outcome of earlier orders. */
export const assertOrderFits = (tracker: RunnerTracker, order: RunnerOrder, engine: EngineSpec): void => {
    if (order.kind !== RunnerOrderKind.Load) {
        return;
    }
    const { id } = tracker.server;
    const added = loadSizeOf(order, engine);
    assertInvariant(
        tracker.usedMb(engine) + added.memoryMb <= engine.memoryMb,
        EventId.InvariantMemory,
        () => `${id}: a load of ${order.model} exceeds the memory`,
    );
    const adapterCount = tracker.usedAdapterSlots + added.adapterSlots;
    assertInvariant(adapterCount <= engine.adapterSlots, EventId.InvariantMemory, () => `${id}: ${adapterCount} adapters exceed the slots`);
};
