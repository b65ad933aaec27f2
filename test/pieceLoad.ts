// Plays upstreams that answer without end against a node process, in every form, and prints what each did to it.
import { parseArgs } from "node:util";
import { createRandom } from "../src/utils/random";
import { endlessForms, pieceForms, slow } from "./fakes/smallPieces";
import type { PieceCase } from "./pieceLoad/pieceCase";
import { describeCase } from "./pieceLoad/pieceCase";
import { describeResult, pieceViolations } from "./pieceLoad/pieceJudge";
import { runPieceCase } from "./pieceLoad/runPieceCase";

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        ms: { type: "string", default: "4000" },
        only: { type: "string", default: "" },
    },
});

const names = [...pieceForms, ...endlessForms].map(({ name }) => name);
const cases: readonly PieceCase[] = names.flatMap(form =>
    ["idempotent", "streaming"].flatMap(routeKind =>
        [200, 500].flatMap(status => [1, 24].flatMap(callers => [undefined, slow].map(pace => ({ form, status, routeKind, callers, pace }))))
    )
);
const random = createRandom(Number(values.seed));
const drawn = cases.filter(pieceCase => new RegExp(values.only).test(describeCase(pieceCase))).map(pieceCase => ({ pieceCase, order: random() }));
for (const { pieceCase } of drawn.sort((one, other) => one.order - other.order)) {
    const result = await runPieceCase(pieceCase, Number(values.ms));
    const violations = pieceViolations(result);
    console.log(
        `${violations.length === 0 ? "held" : "FAILED"}: ${describeCase(pieceCase)}: ${describeResult(result)}${
            violations.map(text => `\n  ${text}`).join("")
        }`,
    );
    process.exitCode = violations.length === 0 ? process.exitCode : 1;
}
