import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { toFailure } from "../src/core/failures";
import { defaultTransportLimits } from "../src/node/transportLimitSettings";
import { RunnerClient } from "../src/platform/runnerClient";
import { StoreClient } from "../src/platform/storeClient";
import { FailureKind } from "../src/types/failureKind";
import { setupLogs } from "../src/utils/events";
import type { ScriptedUpstream } from "./fakes/scriptedUpstream";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";

const message = "Out of memory: Cannot allocate Wasm memory for new instance";

/** The client makes its parser of it at the first connection. */
const { WebAssembly: wasm } = globalThis as unknown as { readonly WebAssembly: { Instance: unknown; }; };

interface Case {
    readonly name: string;
    readonly call: (address: string) => Promise<unknown>;
    readonly kind: FailureKind;
}

// Guards against an error of this node that is taken for one of the other side, and against lines that don't say what it was.
describe("an error of the HTTP client itself", () => {
    const { Instance: original } = wasm;
    let other: ScriptedUpstream;
    before(async () => {
        setupLogs("silent");
        wasm.Instance = class {
            constructor() {
                throw new RangeError(message);
            }
        };
        other = await startScriptedUpstream(() => undefined);
    });
    after(() => {
        wasm.Instance = original;
        other.close();
        setupLogs("info");
    });

    const cases: readonly Case[] = [
        {
            name: "that asks a runner for its report is an internal one",
            call: address => RunnerClient.create(defaultTransportLimits).fetchReport({ id: "u", address, bornAt: 1 } as never),
            kind: FailureKind.Internal,
        },
        {
            name: "that reads the store",
            call: address => StoreClient.create(address, defaultTransportLimits).readTable("op"),
            kind: FailureKind.TableUnavailable,
        },
    ];
    for (const { name, call, kind } of cases) {
        it(`is told with its message: the client ${name}`, async () => {
            const failure = toFailure(await call(other.address).then(() => undefined, (err: unknown) => err));
            assert.equal(failure.kind, kind);
            assert.equal(failure.detail, `RangeError: ${message}`);
        });
    }
});
