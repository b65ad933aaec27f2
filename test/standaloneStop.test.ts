import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { NodeDependencies } from "../src/node/standaloneNode";
import { StandaloneNode } from "../src/node/standaloneNode";
import type { StandaloneNodeSettings } from "../src/node/standaloneNodeSettings";

const stopGraceMs = 400;
const allowedMs = 200;

/** Guards against a stop that never ends because a component does not. */
describe("a standalone node that is stopped", () => {
    const cases: readonly { readonly name: string; readonly stop: () => Promise<void>; readonly stopNoticeMs: number; readonly endsAfterMs: number; }[] = [
        { name: "a component that does not stop", stop: () => new Promise(() => undefined), stopNoticeMs: 10, endsAfterMs: stopGraceMs },
        { name: "a notice longer than the grace period", stop: () => Promise.resolve(), stopNoticeMs: 5_000, endsAfterMs: stopGraceMs },
        { name: "components that stop", stop: () => Promise.resolve(), stopNoticeMs: 10, endsAfterMs: 0 },
    ];
    for (const { name, stop, stopNoticeMs, endsAfterMs } of cases) {
        it(`ends with its grace period: ${name}`, async () => {
            // Only these settings are read, and no dependency.
            const cfg = { nodeId: "n1", queueCapacity: 10, stopGraceMs, stopNoticeMs } as unknown as StandaloneNodeSettings;
            const node = StandaloneNode.create(cfg, {} as unknown as NodeDependencies).use({ name: "component", start: () => Promise.resolve(), stop });
            const startedAt = performance.now();
            await node.stop();
            const tookMs = performance.now() - startedAt;
            assert.ok(tookMs < endsAfterMs + allowedMs, `${tookMs} ms`);
        });
    }
});
