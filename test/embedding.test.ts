import assert from "node:assert/strict";
import { createRequire } from "node:module";
import { it } from "node:test";
import type * as library from "../src/index";

it("embeds the bundled library: plans the load of an artifact and routes a request without any I/O", () => {
    const jackdawtrail = createRequire(import.meta.url)(
        "../dist/index.cjs",
    ) as typeof library;
    const vm = {
        id: "runner-1",
        kind: jackdawtrail.VmKind.Runner,
        state: jackdawtrail.VmState.Live,
        availabilityZone: "za",
        url: "http://10.0.0.1:8000",
        group: "leitor",
    };
    const empty = { incarnation: "1", sequence: 1, memoryMiB: 100, slots: 4, active: 0, queued: 0, fence: 0, leaving: false, residencies: [], openOrders: [] };
    const row = { runner: vm.id, incarnation: "1", memoryMiB: 100, entries: [] };
    const offer = { artifact: "model:wiring-7b@1", memoryMiB: 60, deployment: "leitor", minCopies: 1, homeHolds: false, demand: 1 };
    const [step] = jackdawtrail.ZonePlanner.create([{ vm, row, report: empty, leaving: false, cost: 1, stuck: [], drained: [] }], [offer], {
        copyRate: 2,
        moveCost: 0.5,
        maxSteps: 4,
    }).plan();
    assert.deepEqual(step, { kind: "load", runner: "runner-1", artifact: offer.artifact, memoryMiB: 60 });
    const entry = { artifact: offer.artifact, memoryMiB: 60, state: jackdawtrail.ReservationState.Loading, orderId: "o", fence: 1, holder: "h/1", since: 0 };
    const reserved = jackdawtrail.addReservation(row, entry);
    assert.equal(reserved && jackdawtrail.addReservation(reserved, { ...entry, artifact: "model:other@1" }), undefined, "60 and 60 do not fit into 100 MiB");

    const resident = { ...empty, residencies: [{ artifact: offer.artifact, memoryMiB: 60, state: jackdawtrail.ResidencyState.Resident, active: 0 }] };
    const requirements = { deployment: "leitor", artifacts: [offer.artifact], availabilityZone: "za", avoid: [], prefixHints: [] };
    const chosen = jackdawtrail.chooseRunner(
        [{ vm, report: resident, reportAgeMs: 0, leaving: false, draining: [] }],
        requirements,
        () => ({ inFlight: 0, limit: 8, firstTokenMs: undefined }),
        () => 0.5,
    );
    assert.equal(chosen?.vm.id, "runner-1");
});
