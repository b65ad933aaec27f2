import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { slow } from "./fakes/smallPieces";
import type { PieceCase } from "./pieceLoad/pieceCase";
import { describeCase } from "./pieceLoad/pieceCase";
import { describeResult, pieceViolations } from "./pieceLoad/pieceJudge";
import { runPieceCase } from "./pieceLoad/runPieceCase";

const cases: readonly PieceCase[] = [
    { form: "chunks of 1 byte", status: 200, routeKind: "idempotent", callers: 1 },
    { form: "chunks of 1 byte", status: 200, routeKind: "idempotent", callers: 24 },
    { form: "chunks of 1 byte", status: 500, routeKind: "idempotent", callers: 24 },
    { form: "chunks of 1 byte", status: 200, routeKind: "streaming", callers: 24 },
    { form: "chunks of 1 byte", status: 500, routeKind: "streaming", callers: 24 },
    { form: "an event with an ID a chunk", status: 500, routeKind: "idempotent", callers: 24, pace: slow },
    { form: "one event in chunks of 1 byte", status: 200, routeKind: "streaming", callers: 24 },
    { form: "an event with an ID a chunk", status: 200, routeKind: "streaming", callers: 24 },
];

/** Guards against memory and time that answers take by their pieces, while limits count their bytes. */
describe("a node process whose upstreams send small pieces without end", () => {
    for (const pieceCase of cases) {
        it(`lives, keeps within its memory and serves others: ${describeCase(pieceCase)}`, async () => {
            const result = await runPieceCase(pieceCase);
            console.log(describeResult(result));
            assert.deepEqual(pieceViolations(result), []);
        });
    }
});
