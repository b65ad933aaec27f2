import type { NodeContext } from "../node/context";
import type { EngineChunk } from "../types/engine";
import { StreamEnd } from "../types/engine";
import { EventId } from "../types/eventId";
import type { Failure } from "../types/failure";
import { FailureKind } from "../types/failureKind";
import type { RunnerView } from "../types/runnerView";
import { Verdict } from "../types/verdict";
import { emit } from "../utils/events";
import { assertInvariant } from "../utils/invariants";
import { getOrCreate } from "../utils/maps";
import { sleep } from "../utils/time";
import type { RunnerRequirements } from "./chooseRunner";
import { ConcurrencyLimiter } from "./concurrencyLimiter";
import { decide, DecisionKind } from "./decisions";
import { FailureError, mayRetry, toFailure } from "./failures";
import { PrefixHints } from "./prefixHints";
import type { Priority } from "./recordSchemas";
import { RetryBudget } from "./retryBudget";

/** A generation as a caller asked for it, with names resolved. */
export interface Generation {
    readonly requestId: string;
    readonly caller: string;
    readonly priority: Priority;
    readonly path: string;
    readonly body: Readonly<Record<string, unknown>>;
    readonly deployment: string;
    readonly model: string;
    readonly adapter: string | undefined;
    readonly prompt: string;
    /** By the monotonic clock. */
    readonly deadlineAt: number;
    readonly signal: AbortSignal;
}

/** Takes the pieces of an answer in order. */
export interface AnswerSink {
    write(chunk: EngineChunk): Promise<void> | void;
}

const maxAttempts = 5;
/** Pause before the second attempt; it doubles with each further one. */
const retryPauseMs = 25;
const budgetRetryAfterMs = 1_000;

interface Progress {
    delivered: number;
    text: string;
    attempt: number;
    /** What is known of all attempts together. */
    verdict: Verdict;
    versions: Versions;
    readonly avoid: Set<string>;
}

/** The versions that serve a request. */
type Versions = Pick<Generation, "model" | "adapter">;

const artifactsOf = ({ model, adapter }: Versions): readonly string[] => adapter === undefined ? [model] : [model, adapter];

/** While a new version is not resident yet, the old one answers; an answer that has begun stays with its version. */
const chooseVersions = (node: NodeContext, { model, adapter }: Versions): Versions => ({
    model: node.fleet.servingVersion(model),
    adapter: adapter === undefined ? undefined : node.fleet.servingVersion(adapter),
});

const placeAttempt = (node: NodeContext, generation: Generation, progress: Progress, prefixKey: string): Promise<RunnerView> => {
    const tryPlace = (): RunnerView | undefined => {
        if (progress.delivered === 0) {
            progress.versions = chooseVersions(node, generation);
        }
        const artifacts = artifactsOf(progress.versions);
        const need: RunnerRequirements = {
            deployment: generation.deployment,
            artifacts,
            availabilityZone: node.cfg.availabilityZone,
            avoid: [...progress.avoid],
            prefixHints: node.hints.find(prefixKey),
        };
        const holders = node.fleet.residentRunners(artifacts.at(-1)!);
        const traffic = Object.fromEntries(holders.map(({ vm }) => [vm.id, getOrCreate(node.limits, vm.id, ConcurrencyLimiter.create)]));
        const id = decide(DecisionKind.Route, { runners: holders, need, traffic, draws: [node.random(), node.random(), node.random(), node.random()] });
        const runner = holders.find(({ vm }) => vm.id === id);
        if (runner) {
            getOrCreate(node.limits, runner.vm.id, ConcurrencyLimiter.create).start();
        }
        return runner;
    };
    return node.queue.place(generation.caller, generation.priority, generation.deadlineAt, tryPlace, generation.signal);
};

/** Runs one attempt on a runner that has been placed; returns the failure that ended it, if any. */
const runAttempt = async (
    node: NodeContext,
    generation: Generation,
    progress: Progress,
    runner: RunnerView,
    sink: AnswerSink,
): Promise<Failure | undefined> => {
    const limit = getOrCreate(node.limits, runner.vm.id, ConcurrencyLimiter.create);
    const attemptId = `${generation.requestId}.${progress.attempt}`;
    const startedAt = performance.now();
    let answered = false;
    try {
        const end = await node.engines(runner.vm.url).generate({
            attemptId,
            path: generation.path,
            body: { ...generation.body, ...progress.versions },
            resumeOffset: progress.delivered,
            resumeText: progress.text,
            timeoutMs: Math.max(1, generation.deadlineAt - startedAt),
            signal: generation.signal,
        }, async chunk => {
            assertInvariant(chunk.data.id === attemptId, EventId.InvariantAnswerOwner, () => `${String(chunk.data.id)} instead of ${attemptId}`);
            if (!answered) {
                answered = true;
                limit.onFirstToken(performance.now() - startedAt);
            }
            if (chunk.text !== "") {
                progress.delivered++;
                progress.text += chunk.text;
            }
            await sink.write(chunk);
        });
        return failureOfEnd(end, generation.signal);
    }
    catch (err) {
        const failure = toFailure(err);
        if (failure.kind === FailureKind.UpstreamLost || failure.kind === FailureKind.UpstreamRefused) {
            limit.onOverload();
        }
        return failure;
    }
    finally {
        limit.end();
        node.queue.poll();
    }
};

const endFailures: Readonly<Record<StreamEnd, FailureKind | undefined>> = {
    [StreamEnd.Complete]: undefined,
    [StreamEnd.Truncated]: FailureKind.AnswerTruncated,
    [StreamEnd.Mismatch]: FailureKind.AnswerMismatch,
};

const failureOfEnd = (end: StreamEnd, signal: AbortSignal): Failure | undefined => {
    const kind = signal.aborted && end !== StreamEnd.Complete ? FailureKind.CallerGone : endFailures[end];
    return kind && { kind, verdict: Verdict.MayHaveRun, detail: "the stream ended early" };
};

/** Ends a generation with the verdict of all of its attempts. */
const fail = (failure: Failure, progress: Progress): never => {
    const { verdict, delivered } = progress;
    assertInvariant(verdict !== Verdict.NotRun || delivered === 0, EventId.InvariantVerdict, () => `${delivered} pieces were delivered of what did not run`);
    throw FailureError.create({ ...failure, verdict });
};

/** Ends the generation where a failed attempt is not to be followed by another. Generations have no lasting effect, so they may be repeated. */
const checkRetry = (node: NodeContext, generation: Generation, progress: Progress, failure: Failure): void => {
    if (failure.kind === FailureKind.CallerGone || failure.kind === FailureKind.Internal || !mayRetry(failure.verdict, true)) {
        fail(failure, progress);
    }
    if (progress.attempt >= maxAttempts) {
        fail(failure, progress);
    }
    if (performance.now() >= generation.deadlineAt) {
        fail({ ...failure, kind: FailureKind.DeadlineExpired }, progress);
    }
    if (!getOrCreate(node.budgets, generation.model, RetryBudget.create).withdraw()) {
        fail({ ...failure, kind: FailureKind.RetryBudgetSpent, retryAfterMs: budgetRetryAfterMs }, progress);
    }
};

/** Notes what a failed attempt proves and costs. */
const noteFailure = (progress: Progress, failure: Failure, request: string, runner: string): void => {
    if (failure.verdict !== Verdict.NotRun) {
        progress.verdict = Verdict.MayHaveRun;
    }
    emit(EventId.AttemptFailed, { request, attempt: progress.attempt, runner, kind: failure.kind, verdict: failure.verdict });
    if (failure.kind === FailureKind.AnswerMismatch) {
        emit(EventId.AnswerDropped, { request, runner });
    }
};

/** Answers a generation: places it, streams it, and goes on elsewhere from the last piece when an attempt fails. */
export const generateAnswer = async (node: NodeContext, generation: Generation, sink: AnswerSink): Promise<void> => {
    artifactsOf(generation).forEach(artifact => node.demand.count(artifact));
    getOrCreate(node.budgets, generation.model, RetryBudget.create).deposit();
    const prefixKey = PrefixHints.keyOf(generation.adapter ?? generation.model, generation.prompt);
    const { requestId, model, adapter } = generation;
    const progress: Progress = { delivered: 0, text: "", attempt: 0, verdict: Verdict.NotRun, versions: { model, adapter }, avoid: new Set() };
    for (;;) {
        progress.attempt++;
        // An earlier attempt may have run even where no runner takes a further one.
        const runner = await placeAttempt(node, generation, progress, prefixKey).catch((err: unknown) => fail(toFailure(err), progress));
        const failure = await runAttempt(node, generation, progress, runner, sink);
        if (!failure) {
            node.hints.record(prefixKey, runner.vm.id);
            return;
        }
        noteFailure(progress, failure, requestId, runner.vm.id);
        checkRetry(node, generation, progress, failure);
        if (progress.delivered > 0) {
            emit(EventId.StreamResumed, { request: requestId, delivered: progress.delivered });
        }
        progress.avoid.add(runner.vm.id);
        await sleep(retryPauseMs * 2 ** (progress.attempt - 1) * (0.5 + node.random()), generation.signal);
    }
};
