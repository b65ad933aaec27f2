import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ExitCode } from "../src/cli/exitCode";
import { sleep } from "../src/utils/time";
import { callGateway } from "./fakes/gatewayHarness";
import { KeptConnection } from "./fakes/keptConnection";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";

const graceS = 6;
const waitTimeoutMs = 30_000;
const signalIntervalMs = 2;
const settingsIntervalMs = 20;
const signals = ["SIGHUP", "SIGTERM", "SIGUSR2", "SIGINT", "SIGALRM"] as const;

interface Case {
    readonly name: string;
    /** Whether a request is never answered by its upstream, so that the stop takes its whole time. */
    readonly hasEndlessRequest?: boolean;
    /** Whether the store accepts requests and does not answer. */
    readonly isStoreSilent?: boolean;
    /** Grace period that the settings state from a reload before the stop on. */
    readonly reloadedGraceS?: number;
    /** Whether signals arrive and the settings change during the whole stop. */
    readonly isDisturbed?: boolean;
}

const cases: readonly Case[] = [
    { name: "with signals and changed settings at each step", isDisturbed: true },
    {
        name: "with signals and changed settings at each step, a request to the last and a silent store",
        isDisturbed: true,
        hasEndlessRequest: true,
        isStoreSilent: true,
    },
    { name: "after a reload that shortened the grace period", hasEndlessRequest: true, reloadedGraceS: 4 },
];

/** Guards against a stop that another signal or a change of the settings ends early or keeps from ending. */
describe("a node process that is stopping", () => {
    for (const { name, hasEndlessRequest = false, isStoreSilent = false, reloadedGraceS = graceS, isDisturbed = false } of cases) {
        it(`ends with exit code 0 within the grace period ${name}`, async () => {
            const upstream = await startScriptedUpstream((socket, { id }) => {
                if (id !== "endless-0") {
                    socket.write(answerOf(id, "done"));
                }
            });
            const service = "desk";
            const route = { name: "r", host: "shop.example", prefix: "/desk/", routeKind: "non_idempotent", timeoutMs: 12_000, service, attempts: 1 };
            const config = { routes: [route], services: [{ name: service, healthPath: "/h", maxConns: 100 }] };
            const node = await PlatformProcess.start(graceS, config, { u1: { service, addr: upstream.address, slots: 50 } });
            let hasEnded = false;
            const ended = new Promise<number | string>(resolve => node.process.once("exit", (code, signal) => resolve(code ?? signal ?? "")));
            void ended.then(() => hasEnded = true);
            const disturb = async (): Promise<void> => {
                for (let count = 1; !hasEnded; count++) {
                    node.process.kill(signals[count % signals.length]!);
                    if (count % (settingsIntervalMs / signalIntervalMs) === 0) {
                        node.changeSettings({ budgetSlack: count }, count % 3 === 0);
                    }
                    await sleep(signalIntervalMs);
                }
            };
            try {
                await waitFor("an answer", async () => (await callGateway(node.front)).status === 200, waitTimeoutMs);
                if (hasEndlessRequest) {
                    (await KeptConnection.open(node.front)).send("endless-0");
                    await waitFor("the request", () => upstream.received.some(({ id }) => id === "endless-0"), waitTimeoutMs);
                }
                if (reloadedGraceS !== graceS) {
                    node.changeSettings({ graceS: reloadedGraceS });
                    node.process.kill("SIGHUP");
                    const reloads = (): Promise<number> => node.gauge(`jackdawtrail_events_total{event="107"}`);
                    await waitFor("the reload", async () => await reloads() > 0, waitTimeoutMs);
                }
                node.store.isSilent = isStoreSilent;
                const startedAt = performance.now();
                node.process.kill("SIGTERM");
                const disturbing = isDisturbed ? disturb() : undefined;
                const outcome = await Promise.race([ended, sleep(2 * graceS * 1_000).then(() => "still running")]);
                const tookMs = Math.round(performance.now() - startedAt);
                assert.equal(outcome, ExitCode.Ok);
                assert.ok(tookMs < reloadedGraceS * 1_000, `${tookMs} ms`);
                await disturbing;
            }
            finally {
                hasEnded = true;
                node.close();
                upstream.close();
            }
        });
    }
});
