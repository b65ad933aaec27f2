import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { FailureError } from "../src/core/failures";
import { ContactMonitor } from "../src/forward/contactMonitor";
import { UpstreamProber } from "../src/forward/upstreamProber";
import { ContactFailure } from "../src/types/contactFailure";
import { FailureKind } from "../src/types/failureKind";
import type { RunnerControl } from "../src/types/runner";
import type { UpstreamWord } from "../src/types/upstreamWord";
import { Verdict } from "../src/types/verdict";
import { setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import { startGateway } from "./fakes/gatewayHarness";

/** Time in which a crash is recorded: all nodes have to know of it within 3 s. */
const recordMs = 1_500;
const word: UpstreamWord = { isLeaving: false, isMisdirected: false, ignoredHeaders: [] };
const parts = ["p1"];

describe("a crash of a runner", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    interface Case {
        readonly name: string;
        /** Whether the runner under the request ends. */
        readonly hasCrashed: boolean;
        /** When the node is cut off, before the request is lost, and for how long. */
        readonly cutLeadMs?: number;
        readonly cutMs?: number;
        readonly upstreams?: number;
        readonly isRecorded: boolean;
    }
    const cases: readonly Case[] = [
        { name: "is recorded if another runner answers", hasCrashed: true, isRecorded: true },
        { name: "is recorded if there is no other runner", hasCrashed: true, upstreams: 1, isRecorded: true },
        { name: "is not recorded if the runner lives", hasCrashed: false, isRecorded: false },
        { name: "is not concluded from a cut that has just begun", hasCrashed: false, cutLeadMs: 0, cutMs: 12_000, isRecorded: false },
        { name: "is not concluded from a cut that is known", hasCrashed: false, cutLeadMs: 1_500, cutMs: 12_000, isRecorded: false },
        { name: "is not concluded from a cut that ends while runners are probed", hasCrashed: false, cutLeadMs: 0, cutMs: 250, isRecorded: false },
    ];
    for (const { name, hasCrashed, cutLeadMs, cutMs = 0, upstreams = 6, isRecorded } of cases) {
        it(name, async () => {
            const node = await startGateway([...Array(upstreams).keys()].map(index => `127.0.0.1:${index + 1}`));
            const { gateway } = node;
            let cutUntil = Number.NEGATIVE_INFINITY;
            const isCut = (): boolean => performance.now() < cutUntil;
            const fetchReport = ({ id }: { readonly id: string; }): Promise<unknown> =>
                isCut() || (hasCrashed && id === "up-0")
                    ? Promise.reject(FailureError.create({ kind: FailureKind.UpstreamEnded, verdict: Verdict.NotRun, detail: "ECONNREFUSED" }))
                    : Promise.resolve({ bornAt: 1 });
            gateway.prober = UpstreamProber.create({ fetchReport } as unknown as RunnerControl);
            const ask = (): Promise<UpstreamWord> =>
                isCut() ? Promise.reject(Object.assign(new Error("refused"), { code: "ECONNREFUSED" })) : Promise.resolve(word);
            gateway.contactMonitor = ContactMonitor.create(gateway, ask);
            const stopped = new AbortController();
            gateway.contactMonitor.start(stopped.signal);
            await sleep(200);
            if (cutLeadMs !== undefined) {
                cutUntil = performance.now() + cutLeadMs + cutMs;
                await sleep(cutLeadMs);
            }
            const server = gateway.directory.get("up-0")!;
            gateway.contact.onFailure("up-0@1", ContactFailure.Ended);
            gateway.crashWatch.onLost(server, parts);
            await sleep(recordMs);
            stopped.abort();
            node.close();
            assert.equal(gateway.crashLog.isSuspected(parts), isRecorded);
        });
    }
});
