import { Agent, request } from "undici";
import { z } from "zod";
import { FailureError } from "../core/failures";
import { OwnAnswerMemory } from "../core/ownAnswerMemory";
import { FailureKind } from "../types/failureKind";
import { OwnAnswerKind } from "../types/ownAnswerKind";
import type { RunnerAddress, RunnerControl, RunnerOrder, RunnerReport } from "../types/runner";
import { RunnerOrderAnswer, RunnerOrderKind } from "../types/runner";
import type { TransportLimits } from "../types/transportLimits";
import type { UpstreamWord } from "../types/upstreamWord";
import { Verdict } from "../types/verdict";
import { createPunctualConnector } from "../utils/punctualConnector";
import { createResettingConnector } from "../utils/resettingConnector";
import { isOwnError, readAnswerText, reasonOf, refusedConnectionCode, verdictOfError } from "../utils/transport";
import { localCopiesSchema, parseJson, parseWith, residentModelSchema } from "./schemas";
import { decodeUpstreamWord } from "./upstreamWordDecoder";

const connectTimeoutMs = 300;
const misdirectedStatus = 421;
/** Runners answer orders and report requests within a few milliseconds. */
const answerTimeoutMs = 400;

const operationOf: Readonly<Record<RunnerOrderKind, string>> = { [RunnerOrderKind.Load]: "load_model", [RunnerOrderKind.Unload]: "unload_model" };

const answerOfStatus: Readonly<Record<number, RunnerOrderAnswer>> = {
    200: RunnerOrderAnswer.Done,
    202: RunnerOrderAnswer.Accepted,
    400: RunnerOrderAnswer.Invalid,
    409: RunnerOrderAnswer.Conflict,
    412: RunnerOrderAnswer.StaleEpoch,
    421: RunnerOrderAnswer.WrongInstance,
};

const count = z.number().int().min(0);
const reportSchema = z.object({
    models: z.array(residentModelSchema),
    atHand: localCopiesSchema,
    coming: z.array(z.string()).default([]),
    busy: z.boolean(),
    /** Number of orders accepted since the runner's start. */
    seq: count,
    queued: z.number().min(0),
    active: z.number().min(0),
    born: count.optional(),
});

/** `MODEL/ADAPTER@VERSION` without the version. */
const withoutVersion = (text: string): string => text.slice(0, text.lastIndexOf("@") < 0 ? undefined : text.lastIndexOf("@"));

type WordListener = (runner: RunnerAddress, word: UpstreamWord) => void;

/** HTTP client of the controller for runners. */
export class RunnerClient implements RunnerControl {
    private readonly agent: Agent;
    /** An order that is given up must not arrive later: another holder may send orders by then. */
    private readonly orderAgent: Agent;

    private constructor(private readonly limits: TransportLimits, private readonly onWord: WordListener, private readonly answers: OwnAnswerMemory) {
        const options = { keepAliveTimeout: 1_000, keepAliveTimeoutThreshold: 200, maxHeaderSize: limits.maxAnswerHeadBytes, pipelining: 1 };
        this.agent = new Agent({ ...options, connect: createPunctualConnector({ timeout: connectTimeoutMs }) });
        this.orderAgent = new Agent({ ...options, connect: createResettingConnector({ timeout: connectTimeoutMs }) });
    }

    /** Creates a client; connections are opened on first use. `onWord` is called with what each answer says of its runner's availability. */
    static create(
        limits: TransportLimits,
        onWord: WordListener = () => undefined,
        answers = OwnAnswerMemory.create(() => limits.maxOwnAnswerBytes),
    ): RunnerClient {
        return new RunnerClient(limits, onWord, answers);
    }

    async fetchReport(runner: RunnerAddress): Promise<RunnerReport> {
        const { id, address } = runner;
        try {
            const res = await request(`http://${address}/api/report`, {
                dispatcher: this.agent,
                headers: { "expect-instance": id },
                signal: AbortSignal.timeout(answerTimeoutMs),
            });
            this.onWord(runner, decodeUpstreamWord(res.statusCode, res.headers));
            if (res.statusCode === misdirectedStatus) {
                await res.body.dump();
                throw FailureError.create({ kind: FailureKind.UpstreamEnded, verdict: Verdict.NotRun, detail: "another process answers at the address" });
            }
            const hold = this.answers.open(OwnAnswerKind.Runner);
            const text = await readAnswerText(res.body, { maxBytes: this.limits.maxReportBytes, timeoutMs: answerTimeoutMs, hold });
            const result = parseWith(reportSchema, parseJson(text));
            if (res.statusCode !== 200 || "faults" in result) {
                throw FailureError.create({ kind: FailureKind.UpstreamFailed, verdict: Verdict.Ran, detail: `no usable report: status ${res.statusCode}` });
            }
            const { models, atHand: copies, coming, busy, seq, queued, active, born } = result.value;
            return {
                models,
                inMemory: copies.inMemory,
                onDisk: copies.onDisk,
                loadingAdapters: coming.map(withoutVersion),
                isBusy: busy,
                acceptedOrders: seq,
                queued,
                active,
                bornAt: born ?? 0,
            };
        }
        catch (err) {
            if (err instanceof FailureError) {
                throw err;
            }
            const detail = reasonOf(err);
            const kind = detail === refusedConnectionCode ? FailureKind.UpstreamEnded : isOwnError(err) ? FailureKind.Internal : FailureKind.UpstreamLost;
            throw FailureError.create({ kind, verdict: verdictOfError(err), detail });
        }
    }

    async order(
        runner: RunnerAddress,
        { kind, model, adapter, expectedAcceptedOrders, holder, epoch }: RunnerOrder,
    ): Promise<RunnerOrderAnswer> {
        const { id, address } = runner;
        const res = await request(`http://${address}/api/order`, {
            method: "POST",
            dispatcher: this.orderAgent,
            headers: { "content-type": "application/json", "expect-instance": id },
            body: JSON.stringify({ op: operationOf[kind], model, adapter, expected: expectedAcceptedOrders, holder, fence: epoch }),
            signal: AbortSignal.timeout(answerTimeoutMs),
        });
        this.onWord(runner, decodeUpstreamWord(res.statusCode, res.headers));
        await res.body.dump();
        return answerOfStatus[res.statusCode] ?? RunnerOrderAnswer.Unknown;
    }
}
